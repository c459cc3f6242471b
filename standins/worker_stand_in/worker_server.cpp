#include "worker_server.hpp"

#include "core/error.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace pollenward::worker_stand_in {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using asio::ip::tcp;
    using http_request = http::request<http::string_body>;
    using http_response = http::response<http::string_body>;

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr std::string_view cancel_prefix = "/cancel/";

    http_response reply(http::status status, std::string body)
    {
        http_response response(status, 11);
        response.body() = std::move(body);
        response.prepare_payload();
        return response;
    }

    http_response refusal(http::status status, const char* state)
    {
        http_response response(status, 11);
        response.set("Worker-State", state);
        response.prepare_payload();
        return response;
    }

    std::string percent_decode(std::string_view text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            unsigned value = 0;
            if (text[i] == '%' && i + 2 < text.size()
                && std::from_chars(&text[i + 1], &text[i + 1] + 2, value, 16).ec
                    == std::errc())
            {
                decoded += static_cast<char>(value);
                i += 2;
                continue;
            }
            decoded += text[i];
        }
        return decoded;
    }

    http_response change_behaviour(worker_model& model, const std::string& text)
    {
        core::error reason;
        const auto next = model.get_behaviour().with_json(text, reason);
        if (!next)
        {
            return reply(http::status::bad_request, reason.describe());
        }
        model.set_behaviour(*next);
        return reply(http::status::ok, {});
    }

    /// Returns the response of a control path, or nothing for any other
    /// request.
    std::optional<http_response> answer_control(
        worker_model& model, const http_request& request)
    {
        const std::string_view target(
            request.target().data(), request.target().size());
        if (target == "/health")
        {
            return reply(model.get_behaviour().is_healthy()
                    ? http::status::ok
                    : http::status::service_unavailable,
                {});
        }
        if (target == "/load")
        {
            return reply(http::status::ok, model.load_report());
        }
        if (target == "/runs")
        {
            return reply(http::status::ok, model.get_counts().to_json());
        }
        if (target == "/control")
        {
            return change_behaviour(model, request.body());
        }
        if (target.starts_with(cancel_prefix))
        {
            model.cancel(percent_decode(target.substr(cancel_prefix.size())));
            return reply(http::status::ok, {});
        }
        return std::nullopt;
    }

    std::int64_t deadline_of(const http_request& request)
    {
        const auto text = request["Request-Deadline-Unix-Ms"];
        std::int64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    asio::awaitable<http_response> run_request(
        worker_model& model, const std::string& name, http_request request)
    {
        const std::string id(request["Request-Id"]);
        const auto result
            = co_await model.run(id, request.body(), deadline_of(request));
        http_response response;
        switch (result)
        {
        case run_result::done:
            response = reply(http::status::ok,
                id + " " + std::string(request.target()) + "\n");
            break;
        case run_result::failed:
            response = reply(http::status::internal_server_error, "failed\n");
            break;
        case run_result::shed:
            response = refusal(http::status::service_unavailable, "shed");
            break;
        case run_result::draining:
            response = refusal(http::status::service_unavailable, "draining");
            break;
        case run_result::expired:
            response = refusal(http::status::gateway_timeout, "expired");
            break;
        }
        response.set("Worker", name);
        response.set("Request-Id", id);
        co_return response;
    }

} // namespace

worker_server::worker_server(worker_model& model, std::string name)
    : model(model)
    , name(std::move(name))
{
}

asio::awaitable<void> worker_server::serve(
    tcp::socket socket, std::uint64_t number)
{
    boost::beast::flat_buffer buffer;
    while (true)
    {
        http_request request;
        auto [read_failure, read]
            = co_await http::async_read(socket, buffer, request, token);
        if (read_failure)
        {
            co_return;
        }
        auto response = answer_control(this->model, request);
        if (!response && request.target() == "/silence")
        {
            this->silent_below = number;
            response = reply(http::status::ok, {});
        }
        if (number < this->silent_below)
        {
            continue;
        }
        if (!response)
        {
            response = co_await run_request(this->model, this->name, request);
        }
        if (number < this->silent_below)
        {
            continue;
        }
        response->keep_alive(request.keep_alive());
        auto [write_failure, written]
            = co_await http::async_write(socket, *response, token);
        if (write_failure || !request.keep_alive())
        {
            co_return;
        }
    }
}

asio::awaitable<void> worker_server::accept_all(tcp::acceptor& acceptor)
{
    while (true)
    {
        auto [failure, socket] = co_await acceptor.async_accept(token);
        if (failure)
        {
            co_return;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(acceptor.get_executor(),
            this->serve(std::move(socket), ++this->accepted), asio::detached);
    }
}

} // namespace pollenward::worker_stand_in
