#include "hostile/unread_bytes.hpp"

#include <cstdio>
#include <fstream>
#include <string>

namespace pollenward::hostile {

std::size_t count_unread_bytes(std::uint16_t port)
{
    constexpr unsigned listening = 0x0A;
    std::ifstream connections("/proc/self/net/tcp");
    std::size_t sum = 0;
    for (std::string line; std::getline(connections, line);)
    {
        unsigned local_port = 0;
        unsigned state = 0;
        std::size_t unread = 0;
        const int fields = std::sscanf(line.c_str(),
            " %*d: %*x:%x %*x:%*x %x %*x:%zx", &local_port, &state, &unread);
        if (fields == 3 && local_port == port && state != listening)
        {
            sum += unread;
        }
    }
    return sum;
}

} // namespace pollenward::hostile
