#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <vector>

namespace pollenward::test {

/// Finds distinct ports that are free now. All stay bound until the last one is
/// found, so that none is found twice.
inline std::vector<std::uint16_t> find_free_ports(int count)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    std::vector<tcp::acceptor> acceptors;
    std::vector<std::uint16_t> ports;
    for (int i = 0; i < count; ++i)
    {
        acceptors.emplace_back(
            context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        ports.push_back(acceptors.back().local_endpoint().port());
    }
    return ports;
}

/// Creates a folder for the files of one test. Throws if that fails.
inline std::string make_folder()
{
    const auto pattern
        = (std::filesystem::temp_directory_path() / "pollenward-XXXXXX")
              .string();
    std::string name = pattern;
    if (mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error("cannot create a temporary folder");
    }
    return name;
}

} // namespace pollenward::test
