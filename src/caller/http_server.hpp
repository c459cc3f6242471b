#pragma once

#include "caller/caller_answer.hpp"
#include "caller/caller_limits.hpp"
#include "caller/caller_link.hpp"
#include "caller/caller_request.hpp"
#include "caller/http_message.hpp"
#include "caller/link_table.hpp"
#include "caller/route_table.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/runtime_timer.hpp"
#include "core/tcp_listener.hpp"
#include "operators/event.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace pollenward::caller {

/// Time limit on writing to a caller.
inline constexpr core::seconds write_limit{ 30 };
/// How long a refused caller may take to close its side.
inline constexpr core::seconds close_limit{ 2 };

/// Translates between the header fields of one kind of caller and the values
/// of this package. `Router` is what the dialect looks routes up in.
template <class Type, class Router>
concept caller_dialect = requires(const Router& routes,
    const http_request& message, const operators::kind_settings& kind,
    core::time_point now, core::error& reason, const caller_answer& answer,
    const core::request_id& id) {
    {
        Type::limits(routes)
    } -> std::same_as<caller_limits>;
    {
        Type::find_kind(routes, message)
    } -> std::same_as<std::optional<operators::kind_settings>>;
    {
        Type::answer_without_route(routes)
    } -> std::same_as<caller_answer>;
    {
        Type::read_head(message, kind, routes.max_timeout(), now, reason)
    } -> std::same_as<std::optional<request_head>>;
    {
        Type::to_message(message)
    } -> std::same_as<upstream::request_message>;
    {
        Type::to_response(answer, message, id)
    } -> std::same_as<http_response>;
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
template <class Router, request_handler Handler, class Dialect = own_dialect>
    requires caller_dialect<Dialect, Router>
class http_server {
public:
    http_server(boost::asio::io_context& context, const Router& routes,
        Handler& handler)
        : listener(context)
        , links(context)
        , routes(routes)
        , handler(handler)
    {
    }

    /// Binds and starts to accept. False, with a reason, if the endpoint
    /// cannot be bound.
    bool listen(const core::endpoint& endpoint, core::error& reason)
    {
        if (!this->listener.listen(endpoint, reason))
        {
            return false;
        }
        boost::asio::co_spawn(this->listener.get_executor(), this->accept_all(),
            boost::asio::detached);
        return true;
    }

    /// The port that listen() bound.
    std::uint16_t get_port() const { return this->listener.get_port(); }

    /// Closes the listener; open connections go on.
    void stop_accepting() { this->listener.close(); }

    /// Closes each connection after its next answer; idle ones stay open.
    void begin_closing() { this->links.begin_closing(); }

    /// Closes idle connections, and each other one after its next answer.
    void begin_drain() { this->links.begin_drain(); }

    /// Requests whose first byte was read and whose answer is not yet written.
    std::size_t in_flight() const { return this->links.in_flight(); }

    /// Waits until no request is in flight; false if some are at `limit`. To
    /// be called after begin_drain().
    boost::asio::awaitable<bool> wait_until_idle(core::time_point limit)
    {
        return this->links.wait_until_idle(limit);
    }

    /// Closes all connections; returns how many requests that cut off.
    std::size_t cut() { return this->links.cut(); }

private:
    using tcp = boost::asio::ip::tcp;

    boost::asio::awaitable<void> accept_all()
    {
        return this->listener.accept_all(
            [this](tcp::socket socket) {
                const auto strand = socket.get_executor();
                auto link = std::make_shared<caller_link>(std::move(socket));
                boost::asio::co_spawn(strand, this->serve(std::move(link)),
                    boost::asio::detached);
            },
            [](const core::error& cause) {
                operators::write(operators::event::make("callers.accept_failed")
                                     .with("cause", cause));
            });
    }

    boost::asio::awaitable<void> serve(std::shared_ptr<caller_link> link)
    {
        const std::uint64_t number = this->links.add(link);
        try
        {
            co_await this->serve_requests(*link, number);
        }
        catch (const std::exception& failure)
        {
            // A failure of one connection must not end the others.
            operators::write(operators::event::make("callers.connection_failed")
                                 .with("cause", failure.what()));
            link->close();
        }
        this->links.remove(number);
    }

    boost::asio::awaitable<void> serve_requests(
        caller_link& link, std::uint64_t number)
    {
        using namespace boost::asio::experimental::awaitable_operators;
        while (true)
        {
            const bool has_request = co_await this->wait_for_request(link);
            if (!has_request)
            {
                break;
            }
            this->links.begin_request(number);
            const bool is_kept = co_await this->serve_one(link);
            this->links.end_request(number);
            if (!is_kept)
            {
                co_await (link.close_gently() || this->wait_for(close_limit));
                break;
            }
        }
        link.close();
    }

    /// True when the first byte of a request has arrived.
    boost::asio::awaitable<bool> wait_for_request(caller_link& link)
    {
        if (link.buffer.size() > 0)
        {
            co_return true;
        }
        if (this->links.is_draining() && !link.has_unread_bytes())
        {
            co_return false;
        }
        link.is_idle = true;
        const auto count = co_await core::with_deadline(link.read_some(),
            core::runtime_clock::now()
                + Dialect::limits(this->routes).get_idle());
        link.is_idle = false;
        co_return count.value_or(0) > 0;
    }

    /// Serves one request; false when the connection has to be closed.
    boost::asio::awaitable<bool> serve_one(caller_link& link)
    {
        namespace http = boost::beast::http;
        http_parser incoming;
        const caller_limits limits = Dialect::limits(this->routes);
        incoming.header_limit(limits.get_header_bytes());
        // The kind, which sets the limit, is known after the header only.
        incoming.body_limit(boost::none);
        const auto failure
            = co_await this->complete_within(limits.get_header_time(),
                http::async_read_header(
                    link.socket, link.buffer, incoming, as_result()));
        if (failure)
        {
            co_return co_await this->refuse_read(link, incoming, failure);
        }
        const auto& header = incoming.get();
        const auto kind = Dialect::find_kind(this->routes, header);
        if (!kind)
        {
            co_return co_await this->refuse(
                link, incoming, Dialect::answer_without_route(this->routes));
        }
        core::error reason;
        const auto head = Dialect::read_head(header, *kind,
            this->routes.max_timeout(), core::runtime_clock::now(), reason);
        if (!head)
        {
            co_return co_await this->refuse(
                link, incoming, refusal(400, reason.describe()));
        }
        co_return co_await this->serve_body(link, incoming, *head);
    }

    boost::asio::awaitable<bool> serve_body(
        caller_link& link, http_parser& incoming, const request_head& head)
    {
        namespace http = boost::beast::http;
        const std::uint64_t limit
            = std::min(head.get_kind().get_max_body().get(),
                Dialect::limits(this->routes).get_body_bytes());
        if (incoming.content_length().value_or(0) > limit)
        {
            co_return co_await this->refuse_read(
                link, incoming, http::make_error_code(http::error::body_limit));
        }
        incoming.body_limit(limit);
        if (is_continue_expected(incoming.get()) && !incoming.is_done())
        {
            const bool is_written = co_await this->write_continue(link);
            if (!is_written)
            {
                co_return false;
            }
        }
        const auto failure = co_await this->complete_within(
            Dialect::limits(this->routes).get_body_time(),
            http::async_read(link.socket, link.buffer, incoming, as_result()));
        if (failure)
        {
            co_return co_await this->refuse_read(link, incoming, failure);
        }
        co_return co_await this->run(link, incoming.get(), head);
    }

    /// Runs a whole request, and cancels it if the caller goes away.
    boost::asio::awaitable<bool> run(caller_link& link,
        const http_request& message, const request_head& head)
    {
        using namespace boost::asio::experimental::awaitable_operators;
        const auto answer = co_await (
            this->handle(head.with_message(Dialect::to_message(message)))
            || link.wait_for_end());
        if (answer.index() != 0)
        {
            link.close();
            co_return false;
        }
        co_return co_await this->write(link,
            Dialect::to_response(std::get<0>(answer), message, head.get_id()),
            message.keep_alive());
    }

    boost::asio::awaitable<caller_answer> handle(caller_request request)
    {
        try
        {
            co_return co_await this->handler.handle(std::move(request));
        }
        catch (const std::exception& failure)
        {
            co_return caller_answer::without_body(
                outcome::unknown(502, "request failed"));
        }
    }

    boost::asio::awaitable<bool> refuse_read(caller_link& link,
        const http_parser& incoming, boost::system::error_code failure)
    {
        const auto answer = answer_to_failed_read(failure);
        if (!answer)
        {
            link.close();
            co_return false;
        }
        co_return co_await this->refuse(link, incoming, *answer);
    }

    /// Answers and ends the connection: the rest of the request is not read.
    boost::asio::awaitable<bool> refuse(
        caller_link& link, const http_parser& incoming, caller_answer answer)
    {
        const http_request& message = incoming.get();
        operators::write(
            operators::event::make("request.refused")
                .with("request", id_for_answer(message))
                .with("target", to_view(message.target()))
                .with("status", answer.get_outcome().get_status())
                .with("reason", answer.get_outcome().get_reason()));
        co_return co_await this->write(link,
            Dialect::to_response(answer, message, id_for_answer(message)),
            false);
    }

    boost::asio::awaitable<bool> write(
        caller_link& link, http_response outgoing, bool is_keep_alive)
    {
        const bool is_kept = is_keep_alive && !this->links.is_draining()
            && !this->links.is_closing();
        outgoing.keep_alive(is_kept);
        const auto failure = co_await this->complete_within(write_limit,
            boost::beast::http::async_write(
                link.socket, outgoing, as_result()));
        if (failure)
        {
            link.close();
        }
        co_return !failure && is_kept;
    }

    boost::asio::awaitable<bool> write_continue(caller_link& link)
    {
        http_response interim;
        interim.result(boost::beast::http::status::continue_);
        const auto failure = co_await this->complete_within(write_limit,
            boost::beast::http::async_write(link.socket, interim, as_result()));
        co_return !failure;
    }

    template <class Operation>
    boost::asio::awaitable<boost::system::error_code> complete_within(
        core::duration limit, Operation operation)
    {
        const auto done = co_await core::with_deadline(
            std::move(operation), core::runtime_clock::now() + limit);
        co_return done
            ? std::get<0>(*done)
            : boost::system::error_code(boost::asio::error::timed_out);
    }

    static boost::asio::awaitable<void> wait_for(core::duration time)
    {
        return core::wait_until(core::runtime_clock::now() + time);
    }

    static auto as_result()
    {
        return boost::asio::as_tuple(boost::asio::use_awaitable);
    }

    core::tcp_listener listener;
    link_table links;
    const Router& routes;
    Handler& handler;
};

} // namespace pollenward::caller
