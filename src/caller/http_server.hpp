#pragma once

#include "caller/body_memory.hpp"
#include "caller/body_reader.hpp"
#include "caller/caller_answer.hpp"
#include "caller/caller_connection.hpp"
#include "caller/caller_dialect.hpp"
#include "caller/caller_limits.hpp"
#include "caller/caller_request.hpp"
#include "caller/connection_limit.hpp"
#include "caller/connection_table.hpp"
#include "caller/http_message.hpp"
#include "caller/route_table.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/memory_budget.hpp"
#include "core/runtime_timer.hpp"
#include "core/shared_text.hpp"
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
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace pollenward::caller {

/// Time limit on writing to a caller.
inline constexpr core::seconds write_timeout{ 30 };
/// Time that a caller has to close its side after the last answer.
inline constexpr core::seconds lingering_close_timeout{ 2 };

/// The HTTP/1.1 server for callers. Each connection runs as a coroutine on its
/// own strand.
template <class Router, request_handler Handler,
    class Dialect = default_dialect>
    requires caller_dialect<Dialect, Router>
class http_server {
public:
    /// `bodies` bounds the bodies of all requests that are in memory.
    http_server(boost::asio::io_context& context, const Router& routes,
        Handler& handler, body_memory bodies = body_memory::unlimited(),
        std::size_t max_connections = std::numeric_limits<std::size_t>::max())
        : listener(context)
        , connections(context)
        , routes(routes)
        , handler(handler)
        , open_limit(this->connections, max_connections)
        , bodies(this->connections, std::move(bodies))
    {
    }

    /// Binds the endpoint and starts to accept connections. Returns false and
    /// sets `reason` if the endpoint cannot be bound.
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

    /// Closes the listener; open connections stay open, and those that wait to
    /// be accepted are accepted.
    void stop_accepting() { this->listener.close(); }

    /// Closes each connection after its next answer; idle ones stay open.
    void begin_closing() { this->connections.begin_closing(); }

    /// Closes idle connections at once and the others after their next answer.
    /// Requests that are not whole yet are refused.
    void begin_drain() { this->connections.begin_drain(); }

    /// Requests whose first byte was read and whose answer is not yet written.
    std::size_t in_flight() const { return this->connections.in_flight(); }

    /// Waits until all connections are closed; false if a request is still in
    /// flight at `limit`. Must be called after begin_drain().
    boost::asio::awaitable<bool> wait_until_idle(core::time_point limit)
    {
        if (this->listener.is_closing())
        {
            co_await this->listener.wait_until_closed(limit);
        }
        co_return co_await this->connections.wait_until_idle(limit);
    }

    /// Closes all connections; returns how many requests were interrupted.
    std::size_t close_all() { return this->connections.close_all(); }

private:
    using tcp = boost::asio::ip::tcp;

    boost::asio::awaitable<void> accept_all()
    {
        return this->listener.accept_all(
            [this] { return this->open_limit.has_room(); },
            [this](tcp::socket socket) {
                const bool is_over_limit = !this->open_limit.has_capacity();
                const auto strand = socket.get_executor();
                auto connection
                    = std::make_shared<caller_connection>(std::move(socket));
                connection->is_over_limit = is_over_limit;
                // Counted at once: a drain waits for it from now on.
                const auto number = this->connections.add(connection);
                boost::asio::co_spawn(strand,
                    this->serve(std::move(connection), number),
                    boost::asio::detached);
            },
            [](const core::error& cause) {
                operators::write(operators::event::make("callers.accept_failed")
                                     .with("cause", cause));
            });
    }

    boost::asio::awaitable<void> serve(
        std::shared_ptr<caller_connection> connection, std::uint64_t number)
    {
        try
        {
            co_await this->serve_requests(*connection, number);
        }
        catch (const std::exception& failure)
        {
            // A failure of one connection must not end the others.
            operators::write(operators::event::make("callers.connection_failed")
                                 .with("cause", failure.what()));
            connection->close();
        }
        this->connections.remove(number);
    }

    boost::asio::awaitable<void> serve_requests(
        caller_connection& connection, std::uint64_t number)
    {
        using namespace boost::asio::experimental::awaitable_operators;
        while (true)
        {
            const bool has_request
                = co_await this->wait_for_request(connection);
            if (!has_request)
            {
                break;
            }
            this->connections.begin_request(number);
            const bool is_kept
                = co_await this->serve_request(connection, number);
            this->connections.end_request(number);
            if (!is_kept)
            {
                this->connections.begin_lingering(number);
                co_await (connection.lingering_close()
                    || this->wait_for(lingering_close_timeout));
                break;
            }
        }
        connection.close();
    }

    /// Waits for the first byte of a request; false if the connection has to be
    /// closed instead.
    boost::asio::awaitable<bool> wait_for_request(caller_connection& connection)
    {
        if (connection.buffer.size() > 0)
        {
            co_return true;
        }
        if (this->connections.is_draining() && !connection.has_unread_bytes())
        {
            co_return false;
        }
        const auto begin = core::runtime_clock::now();
        const auto expiry = [this, begin] {
            return begin + Dialect::limits(this->routes).get_idle();
        };
        connection.is_idle = true;
        bool is_over = false;
        while (!is_over)
        {
            const auto count = co_await core::with_deadline(
                connection.read_some(), expiry());
            // A new configuration may have moved the expiry.
            is_over = count.has_value() || connection.is_evicted
                || this->connections.is_draining()
                || connection.has_unread_bytes()
                || core::runtime_clock::now() >= expiry();
        }
        connection.is_idle = false;
        // Bytes may have arrived since the wait was ended.
        co_return connection.has_unread_bytes();
    }

    /// Serves one request; false when the connection has to be closed.
    boost::asio::awaitable<bool> serve_request(
        caller_connection& connection, std::uint64_t number)
    {
        namespace http = boost::beast::http;
        http_parser incoming;
        const caller_limits limits = Dialect::limits(this->routes);
        incoming.header_limit(limits.get_header_bytes());
        connection.limit_buffer(limits.get_header_bytes());
        // The limit depends on the kind, which is known only after the header.
        incoming.body_limit(boost::none);
        connection.is_evicted = false;
        connection.is_reading = true;
        const auto failure
            = co_await this->complete_within(limits.get_header_time(),
                http::async_read_header(connection.socket, connection.buffer,
                    incoming, as_result()));
        connection.is_reading = false;
        if (failure)
        {
            co_return co_await this->refuse_failed_read(
                connection, incoming, failure);
        }
        if (connection.is_over_limit)
        {
            co_return co_await this->refuse_failed_read(connection, incoming,
                make_error_code(boost::system::errc::not_enough_memory));
        }
        const auto& header = incoming.get();
        const auto kind = Dialect::find_kind(this->routes, header);
        if (!kind)
        {
            co_return co_await this->refuse(connection, incoming,
                Dialect::answer_without_route(this->routes));
        }
        core::error reason;
        const auto head = Dialect::read_head(header, *kind,
            this->routes.max_timeout(), core::runtime_clock::now(), reason);
        if (!head)
        {
            co_return co_await this->refuse(
                connection, incoming, refusal(400, reason.describe()));
        }
        co_return co_await this->serve_body(
            connection, number, incoming, *head);
    }

    boost::asio::awaitable<bool> serve_body(caller_connection& connection,
        std::uint64_t number, http_parser& incoming, const request_head& head)
    {
        namespace http = boost::beast::http;
        const std::uint64_t limit
            = std::min(head.get_kind().get_max_body().get(),
                Dialect::limits(this->routes).get_body_bytes());
        if (incoming.content_length().value_or(0) > limit)
        {
            co_return co_await this->refuse_failed_read(connection, incoming,
                http::make_error_code(http::error::body_limit));
        }
        incoming.body_limit(limit);
        body_memory::lease reserved = this->bodies.lease();
        const bool is_reserved = this->bodies.reserve(
            number, reserved, incoming.content_length().value_or(0));
        if (!is_reserved)
        {
            co_return co_await this->refuse_failed_read(connection, incoming,
                make_error_code(boost::system::errc::not_enough_memory));
        }
        connection.is_reading = true;
        boost::system::error_code failure;
        if (is_continue_expected(incoming.get()) && !incoming.is_done())
        {
            failure = co_await this->write_continue(connection);
        }
        if (!failure)
        {
            failure = co_await this->complete_within(
                Dialect::limits(this->routes).get_body_time(),
                this->bodies.read(
                    connection, number, incoming, reserved, limit));
        }
        connection.is_reading = false;
        if (failure)
        {
            co_return co_await this->refuse_failed_read(
                connection, incoming, failure);
        }
        if (this->connections.is_draining())
        {
            // It might still run when the process is ended.
            co_return co_await this->refuse(
                connection, incoming, stopping_answer());
        }
        auto body = core::shared_text::make(
            std::exchange(incoming.get().body(), {}), reserved.release());
        this->connections.begin_run(number);
        co_return co_await this->run(
            connection, incoming.get(), std::move(body), head);
    }

    /// Runs a complete request, and cancels it if the caller disconnects.
    boost::asio::awaitable<bool> run(caller_connection& connection,
        const http_request& message, core::shared_text body,
        const request_head& head)
    {
        using namespace boost::asio::experimental::awaitable_operators;
        auto request
            = head.with_message(Dialect::to_message(message, std::move(body)),
                core::runtime_clock::now());
        const auto answer = co_await (this->handle(std::move(request))
            || wait_until_gone(connection, message.version()));
        if (answer.index() != 0)
        {
            log_unanswered(
                connection, head.get_id(), "wait", std::get<1>(answer));
            connection.close();
            co_return false;
        }
        co_return co_await this->write(connection, head.get_id(),
            Dialect::to_response(std::get<0>(answer), message, head.get_id()),
            message.keep_alive());
    }

    /// Returns why the caller does not read its answer any more. A caller of
    /// HTTP/1.0 knows no interim responses: the end of its stream counts.
    static boost::asio::awaitable<boost::system::error_code> wait_until_gone(
        caller_connection& connection, unsigned version)
    {
        constexpr unsigned first_with_interim_responses = 11;
        const auto ended = co_await connection.wait_for_peer_close();
        if (ended != boost::asio::error::eof
            || version < first_with_interim_responses)
        {
            co_return ended;
        }
        co_return co_await connection.wait_for_reset();
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

    boost::asio::awaitable<bool> refuse_failed_read(
        caller_connection& connection, const http_parser& incoming,
        boost::system::error_code failure)
    {
        const auto answer = answer_to_failed_read(connection.is_evicted
                ? make_error_code(boost::system::errc::not_enough_memory)
                : failure);
        if (!answer)
        {
            connection.close();
            co_return false;
        }
        co_return co_await this->refuse(connection, incoming, *answer);
    }

    /// Answers and closes the connection: the rest of the request is not read.
    boost::asio::awaitable<bool> refuse(caller_connection& connection,
        const http_parser& incoming, caller_answer answer)
    {
        const http_request& message = incoming.get();
        operators::write(
            operators::event::make("request.refused")
                .with("request", id_for_answer(message))
                .with("target", to_view(message.target()))
                .with("status", answer.get_outcome().get_status())
                .with("reason", answer.get_outcome().get_reason()));
        const auto id = id_for_answer(message);
        co_return co_await this->write(
            connection, id, Dialect::to_response(answer, message, id), false);
    }

    /// Reports that the connection of a whole request ends without its answer.
    static void log_unanswered(const caller_connection& connection,
        const core::request_id& id, const char* step,
        boost::system::error_code cause)
    {
        operators::write(operators::event::make("callers.request_unanswered")
                             .with("request", id)
                             .with("kept", connection.has_answered)
                             .with("step", step)
                             .with("cause", cause.message()));
    }

    boost::asio::awaitable<bool> write(caller_connection& connection,
        core::request_id id, http_response outgoing, bool is_keep_alive)
    {
        const bool is_kept = is_keep_alive && !this->connections.is_draining()
            && !this->connections.is_closing();
        outgoing.keep_alive(is_kept);
        last_answer answer(outgoing);
        boost::system::error_code failure;
        if (!is_kept)
        {
            failure = connection.write_last(answer);
        }
        if (!failure && !answer.is_done())
        {
            failure = co_await this->complete_within(write_timeout,
                boost::beast::http::async_write(
                    connection.socket, answer, as_result()));
        }
        if (failure)
        {
            log_unanswered(connection, id, "write", failure);
            connection.close();
        }
        connection.has_answered = true;
        co_return !failure && is_kept;
    }

    boost::asio::awaitable<boost::system::error_code> write_continue(
        caller_connection& connection)
    {
        http_response interim;
        interim.result(boost::beast::http::status::continue_);
        co_return co_await this->complete_within(write_timeout,
            boost::beast::http::async_write(
                connection.socket, interim, as_result()));
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
    connection_table connections;
    const Router& routes;
    Handler& handler;
    connection_limit open_limit;
    body_reader bodies;
};

} // namespace pollenward::caller
