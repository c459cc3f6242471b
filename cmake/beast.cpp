#include <boost/beast/src.hpp>
