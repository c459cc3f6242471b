#include "platform/object_client.hpp"

#include "core/runtime_timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>

namespace pollenward::platform {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using asio::ip::tcp;
    using response = http::response<http::string_body>;
    using exchange_result = std::pair<boost::system::error_code, response>;

    constexpr core::seconds call_timeout{ 2 };

    asio::awaitable<exchange_result> exchange(
        core::endpoint service, http::request<http::string_body> request)
    {
        constexpr auto token = asio::as_tuple(asio::use_awaitable);
        tcp::socket socket(co_await asio::this_coro::executor);
        const tcp::endpoint remote(
            asio::ip::make_address(service.get_address()), service.get_port());
        auto [connect_failure] = co_await socket.async_connect(remote, token);
        if (connect_failure)
        {
            co_return exchange_result(connect_failure, {});
        }
        auto [write_failure, written]
            = co_await http::async_write(socket, request, token);
        if (write_failure)
        {
            co_return exchange_result(write_failure, {});
        }
        boost::beast::flat_buffer buffer;
        response incoming;
        auto [read_failure, read]
            = co_await http::async_read(socket, buffer, incoming, token);
        co_return exchange_result(read_failure, std::move(incoming));
    }

    std::optional<stored_object> decode_object(
        const core::document_name& name, const std::string& text)
    {
        const auto body = nlohmann::json::parse(text, nullptr, false);
        if (!body.is_object() || !body.contains("version")
            || !body["version"].is_number_unsigned() || !body.contains("value")
            || !body["value"].is_string())
        {
            return std::nullopt;
        }
        return stored_object::make(name,
            core::version_number(body["version"].get<std::uint64_t>()),
            body["value"].get<std::string>());
    }

} // namespace

object_client::object_client(core::endpoint service)
    : service(std::move(service))
{
}

asio::awaitable<std::optional<stored_object>> object_client::get(
    core::document_name name, core::error& reason)
{
    const std::string step = "get object " + name.str();
    http::request<http::string_body> request(
        http::verb::get, "/v1/objects/" + name.str(), 11);
    request.set(http::field::host, this->service.str());
    ++this->calls;
    const auto done = co_await core::with_deadline(
        exchange(this->service, std::move(request)),
        core::runtime_clock::now() + call_timeout);
    const auto failed = [&](const std::string& cause) {
        reason = core::error::make(step, this->service.str(), cause);
        return std::nullopt;
    };
    if (!done)
    {
        co_return failed("no response in time");
    }
    const auto& [failure, response] = *done;
    if (failure)
    {
        co_return failed(failure.message());
    }
    if (response.result() != http::status::ok)
    {
        co_return failed("status " + std::to_string(response.result_int()));
    }
    auto object = decode_object(name, response.body());
    if (!object)
    {
        co_return failed("response is not an object with version and value");
    }
    co_return object;
}

} // namespace pollenward::platform
