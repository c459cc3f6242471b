#include "process/http_call.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>

namespace pollenward::test {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using response = http::response<http::string_body>;

    constexpr std::chrono::seconds call_timeout{ 30 };

    std::string to_lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
            [](unsigned char letter) { return std::tolower(letter); });
        return text;
    }

    http_reply to_reply(const response& incoming)
    {
        http_reply reply;
        reply.status = incoming.result_int();
        reply.body = incoming.body();
        for (const auto& field : incoming)
        {
            reply.headers[to_lower(std::string(field.name_string()))]
                = std::string(field.value());
        }
        return reply;
    }

} // namespace

std::optional<http_reply> http_call(std::uint16_t port,
    const std::string& method, const std::string& target,
    const std::string& body, const std::map<std::string, std::string>& headers)
{
    asio::io_context context;
    boost::beast::tcp_stream stream(context);
    stream.expires_after(call_timeout);
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, "127.0.0.1");
    for (const auto& [name, value] : headers)
    {
        request.set(name, value);
    }
    request.body() = body;
    request.keep_alive(false);
    request.prepare_payload();
    boost::beast::flat_buffer buffer;
    response incoming;
    std::optional<http_reply> reply;
    stream.async_connect(
        asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port),
        [&](const boost::system::error_code& connect_failure) {
            if (connect_failure)
            {
                return;
            }
            http::async_write(stream, request, [&](auto write_failure, auto) {
                if (write_failure)
                {
                    return;
                }
                http::async_read(
                    stream, buffer, incoming, [&](auto read_failure, auto) {
                        if (!read_failure)
                        {
                            reply = to_reply(incoming);
                        }
                    });
            });
        });
    context.run();
    return reply;
}

} // namespace pollenward::test
