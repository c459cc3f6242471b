#pragma once

#include "caller/caller_answer.hpp"
#include "caller/caller_request.hpp"
#include "caller/request_form.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/runtime_timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace pollenward::caller {

/// Largest header block accepted, in bytes.
inline constexpr std::uint32_t max_header_bytes = 16 * 1024;
/// Time limits on reading from a caller.
inline constexpr core::seconds idle_limit{ 60 };
inline constexpr core::seconds header_limit{ 10 };
inline constexpr core::seconds body_limit{ 30 };

/// Finds the kind of a request and the longest time limit allowed.
template <class Type>
concept router = requires(const Type& type, std::string_view text) {
    {
        type.find(text, text)
    } -> std::same_as<std::optional<operators::kind_settings>>;
    {
        type.max_timeout()
    } -> std::same_as<core::milliseconds>;
};

/// Runs a request to its answer.
template <class Type>
concept request_handler = requires(Type& type, caller_request request) {
    {
        type.handle(std::move(request))
    } -> std::same_as<boost::asio::awaitable<caller_answer>>;
};

/// The HTTP/1.1 server that callers talk to. Each connection runs as a
/// coroutine on its own strand.
template <router Router, request_handler Handler>
class http_server {
public:
    http_server(boost::asio::io_context& context, const Router& routes,
        Handler& handler)
        : context(context)
        , acceptor(context)
        , routes(routes)
        , handler(handler)
    {
    }

    /// Binds and starts to accept. False, with a reason, if the endpoint
    /// cannot be bound.
    bool listen(const core::endpoint& endpoint, core::error& reason)
    {
        namespace asio = boost::asio;
        boost::system::error_code failure;
        const asio::ip::tcp::endpoint local(
            asio::ip::make_address(endpoint.get_address(), failure),
            endpoint.get_port());
        const auto failed = [&](const char* step) {
            reason = core::error::make(step, endpoint.str(), failure.message());
            return false;
        };
        this->acceptor.open(local.protocol(), failure);
        if (failure)
        {
            return failed("open caller listener");
        }
        this->acceptor.set_option(
            asio::socket_base::reuse_address(true), failure);
        this->acceptor.bind(local, failure);
        if (failure)
        {
            return failed("bind caller listener");
        }
        this->acceptor.listen(
            asio::socket_base::max_listen_connections, failure);
        if (failure)
        {
            return failed("listen for callers");
        }
        asio::co_spawn(this->context, this->accept_all(), asio::detached);
        return true;
    }

private:
    using tcp = boost::asio::ip::tcp;
    using parser
        = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using response
        = boost::beast::http::response<boost::beast::http::string_body>;

    boost::asio::awaitable<void> accept_all()
    {
        namespace asio = boost::asio;
        while (this->acceptor.is_open())
        {
            auto [failure, socket] = co_await this->acceptor.async_accept(
                asio::make_strand(this->context),
                asio::as_tuple(asio::use_awaitable));
            if (failure)
            {
                continue;
            }
            const auto executor = socket.get_executor();
            asio::co_spawn(
                executor, this->serve(std::move(socket)), asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(tcp::socket socket)
    {
        socket.set_option(tcp::no_delay(true));
        boost::beast::flat_buffer buffer;
        bool is_open = true;
        while (is_open)
        {
            is_open = co_await this->serve_one(socket, buffer);
        }
    }

    /// Serves one request; false when the connection has to be closed.
    boost::asio::awaitable<bool> serve_one(
        tcp::socket& socket, boost::beast::flat_buffer& buffer)
    {
        namespace http = boost::beast::http;
        parser incoming;
        incoming.header_limit(max_header_bytes);
        const auto header_failure = co_await this->read_within(idle_limit,
            http::async_read_header(socket, buffer, incoming, read_token()));
        if (header_failure)
        {
            co_return false;
        }
        const auto& header = incoming.get().base();
        const auto kind = this->routes.find(
            to_view(header.method_string()), path_of_target(header));
        if (!kind)
        {
            co_return co_await this->refuse(socket, incoming, 404, "no route");
        }
        incoming.body_limit(kind->get_max_body().get());
        const auto body_failure = co_await this->read_within(body_limit,
            http::async_read(socket, buffer, incoming, read_token()));
        if (body_failure)
        {
            co_return false;
        }
        co_return co_await this->answer(socket, incoming, *kind);
    }

    boost::asio::awaitable<bool> answer(tcp::socket& socket, parser& incoming,
        const operators::kind_settings& kind)
    {
        core::error reason;
        const auto request = this->to_request(incoming.get(), kind, reason);
        if (!request)
        {
            co_return co_await this->refuse(
                socket, incoming, 400, reason.describe());
        }
        const auto answer = co_await this->handler.handle(*request);
        response outgoing = to_response(answer, incoming.get().version());
        outgoing.set("Request-Id", request->get_id().str());
        co_return co_await this->write(
            socket, std::move(outgoing), incoming.get().keep_alive());
    }

    std::optional<caller_request> to_request(const parser::value_type& message,
        const operators::kind_settings& kind, core::error& reason) const
    {
        const auto id_text = to_view(message["Request-Id"]);
        std::optional<core::request_id> id = id_text.empty()
            ? generate_request_id()
            : parse_request_id(id_text, reason);
        const auto timeout
            = parse_timeout(to_view(message["Request-Timeout-Ms"]), kind,
                this->routes.max_timeout(), reason);
        if (!id || !timeout)
        {
            return std::nullopt;
        }
        const auto account_text = to_view(message["Client-Account"]);
        const core::account_id account(account_text.empty()
                ? std::string("anonymous")
                : std::string(account_text));
        core::header_fields headers;
        for (const auto& field : message)
        {
            if (is_end_to_end(field.name()))
            {
                headers.push_back(core::header_field::make(
                    std::string(to_view(field.name_string())),
                    std::string(to_view(field.value()))));
            }
        }
        return caller_request::make(*id, !id_text.empty(), account, kind,
            core::runtime_clock::now() + *timeout,
            upstream::request_message::make(
                std::string(to_view(message.method_string())),
                std::string(to_view(message.target())), std::move(headers),
                message.body()));
    }

    boost::asio::awaitable<bool> refuse(tcp::socket& socket,
        const parser& incoming, unsigned status, std::string reason)
    {
        const auto answer = caller_answer::without_body(
            outcome::not_run(status, std::move(reason)));
        co_return co_await this->write(
            socket, to_response(answer, incoming.get().version()), false);
    }

    boost::asio::awaitable<bool> write(
        tcp::socket& socket, response outgoing, bool is_keep_alive)
    {
        namespace asio = boost::asio;
        outgoing.keep_alive(is_keep_alive);
        outgoing.prepare_payload();
        const auto [failure, count] = co_await boost::beast::http::async_write(
            socket, outgoing, asio::as_tuple(asio::use_awaitable));
        co_return !failure && is_keep_alive && count > 0;
    }

    template <class Operation>
    boost::asio::awaitable<boost::system::error_code> read_within(
        core::duration limit, Operation operation)
    {
        const auto done = co_await core::with_deadline(
            std::move(operation), core::runtime_clock::now() + limit);
        co_return done
            ? std::get<0>(*done)
            : boost::system::error_code(boost::asio::error::timed_out);
    }

    static auto read_token()
    {
        return boost::asio::as_tuple(boost::asio::use_awaitable);
    }

    static response to_response(const caller_answer& answer, unsigned version)
    {
        const outcome& result = answer.get_outcome();
        response outgoing;
        outgoing.version(version);
        outgoing.result(result.get_status());
        for (const auto& field : answer.get_headers())
        {
            outgoing.insert(field.get_name(), field.get_value());
        }
        outgoing.set(
            "Request-Outcome", std::string(to_string(result.get_kind())));
        if (!result.get_reason().empty())
        {
            outgoing.set("Outcome-Reason", result.get_reason());
        }
        if (const auto retry_after = result.get_retry_after())
        {
            const auto whole_seconds
                = std::chrono::ceil<core::seconds>(*retry_after);
            outgoing.set(boost::beast::http::field::retry_after,
                std::to_string(whole_seconds.count()));
        }
        outgoing.body() = answer.get_body();
        return outgoing;
    }

    template <class Header>
    static std::string_view path_of_target(const Header& header)
    {
        const std::string_view target = to_view(header.target());
        return target.substr(0, target.find('?'));
    }

    static std::string_view to_view(boost::beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    /// False for fields that concern one connection or that are set anew.
    static bool is_end_to_end(boost::beast::http::field name)
    {
        using boost::beast::http::field;
        switch (name)
        {
        case field::connection:
        case field::keep_alive:
        case field::proxy_connection:
        case field::te:
        case field::trailer:
        case field::transfer_encoding:
        case field::upgrade:
        case field::content_length:
        case field::host:
        case field::expect:
            return false;
        default:
            return true;
        }
    }

    boost::asio::io_context& context;
    tcp::acceptor acceptor;
    const Router& routes;
    Handler& handler;
};

} // namespace pollenward::caller
