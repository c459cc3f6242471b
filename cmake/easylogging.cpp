#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
