#include "upstream/worker_connection.hpp"

#include "core/runtime_timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace pollenward::upstream {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using asio::ip::tcp;
    using http_request = http::request<http::string_body>;
    using http_response = http::response<http::string_body>;

    constexpr auto token = asio::as_tuple(asio::use_awaitable);

    /// The deadline as wall-clock time, which the worker can compare with its
    /// own clock even if the request was delayed on the way.
    std::int64_t to_unix_ms(core::time_point deadline)
    {
        const auto remaining = std::chrono::duration_cast<core::milliseconds>(
            deadline - core::runtime_clock::now());
        const auto wall = std::chrono::duration_cast<core::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        return (wall + remaining).count();
    }

    http_request encode(
        const forward_request& request, const core::endpoint& remote)
    {
        const request_message& message = request.get_message();
        http_request outgoing;
        outgoing.version(11);
        outgoing.method_string(message.get_method());
        outgoing.target(message.get_target());
        for (const auto& field : message.get_headers())
        {
            outgoing.insert(field.get_name(), field.get_value());
        }
        outgoing.set(http::field::host, remote.str());
        outgoing.set("Request-Id", request.get_id().str());
        outgoing.set(
            "Request-Rank", std::string(core::to_string(request.get_rank())));
        outgoing.set("Request-Deadline-Unix-Ms",
            std::to_string(to_unix_ms(request.get_deadline())));
        outgoing.body() = message.get_body();
        outgoing.prepare_payload();
        return outgoing;
    }

    bool is_connection_field(http::field name)
    {
        return name == http::field::connection
            || name == http::field::keep_alive
            || name == http::field::transfer_encoding
            || name == http::field::content_length;
    }

    response_message decode(const http_response& incoming)
    {
        core::header_fields headers;
        for (const auto& field : incoming)
        {
            if (!is_connection_field(field.name()))
            {
                headers.push_back(
                    core::header_field::make(std::string(field.name_string()),
                        std::string(field.value())));
            }
        }
        return response_message::make(
            incoming.result_int(), std::move(headers), incoming.body());
    }

    exchange_result classify(const http_response& incoming)
    {
        const auto state = incoming["Worker-State"];
        const bool is_unavailable
            = incoming.result() == http::status::service_unavailable;
        if (is_unavailable && state == "shed")
        {
            return exchange_result::failed(attempt_result::refused_shed, {});
        }
        if (is_unavailable && state == "draining")
        {
            return exchange_result::failed(
                attempt_result::refused_draining, {});
        }
        return exchange_result::answered(decode(incoming));
    }

    using transfer_result = std::pair<boost::system::error_code, http_response>;

    asio::awaitable<transfer_result> transfer(
        tcp::socket& socket, const http_request& outgoing)
    {
        auto [write_failure, written]
            = co_await http::async_write(socket, outgoing, token);
        if (write_failure)
        {
            co_return transfer_result(write_failure, {});
        }
        boost::beast::flat_buffer buffer;
        http_response incoming;
        auto [read_failure, read]
            = co_await http::async_read(socket, buffer, incoming, token);
        co_return transfer_result(read_failure, std::move(incoming));
    }

} // namespace

exchange_result exchange_result::answered(response_message response)
{
    exchange_result made;
    made.result = attempt_result::answered;
    made.response = std::move(response);
    return made;
}

exchange_result exchange_result::failed(
    attempt_result result, core::error cause)
{
    exchange_result made;
    made.result = result;
    made.cause = std::move(cause);
    return made;
}

worker_connection::worker_connection(
    const asio::any_io_executor& executor, core::endpoint remote)
    : socket(executor)
    , remote(std::move(remote))
{
}

asio::awaitable<bool> worker_connection::connect(
    core::time_point deadline, core::error& reason)
{
    const tcp::endpoint target(
        asio::ip::make_address(this->remote.get_address()),
        this->remote.get_port());
    const auto done = co_await core::with_deadline(
        this->socket.async_connect(target, token), deadline);
    const auto failure = done
        ? std::get<0>(*done)
        : boost::system::error_code(asio::error::timed_out);
    if (failure)
    {
        reason = core::error::make(
            "connect to worker", this->remote.str(), failure.message());
        co_return false;
    }
    this->socket.set_option(tcp::no_delay(true));
    co_return true;
}

asio::awaitable<exchange_result> worker_connection::exchange(
    const forward_request& request)
{
    this->reusable = false;
    const http_request outgoing = encode(request, this->remote);
    const auto done = co_await core::with_deadline(
        transfer(this->socket, outgoing), request.get_deadline());
    const auto failed = [&](attempt_result result, const std::string& cause) {
        return exchange_result::failed(result,
            core::error::make(
                "exchange with worker", this->remote.str(), cause));
    };
    if (!done)
    {
        co_return failed(attempt_result::timed_out, "deadline passed");
    }
    const auto& [failure, incoming] = *done;
    if (failure)
    {
        co_return failed(attempt_result::broken_after_send, failure.message());
    }
    this->reusable = incoming.keep_alive();
    co_return classify(incoming);
}

} // namespace pollenward::upstream
