#pragma once

#include "core/tcp_listener.hpp"
#include "operators/admin_backend.hpp"
#include "operators/admin_http.hpp"
#include "operators/event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <exception>
#include <string>
#include <utility>

namespace pollenward::operators {

/// The HTTP server for operators, monitoring and the load balancer.
template <admin_backend Backend>
class admin_server {
public:
    admin_server(boost::asio::io_context& context, Backend& backend)
        : listener(context)
        , backend(backend)
    {
    }

    /// Binds the endpoint and starts to accept connections. False, with the
    /// reason, if the endpoint cannot be bound.
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

    boost::asio::awaitable<admin_response> handle(admin_request request)
    {
        switch (find_admin_resource(request))
        {
        case admin_resource::status:
            co_return respond_status(this->backend.status());
        case admin_resource::metrics:
            co_return respond_metrics(this->backend.metrics());
        case admin_resource::configuration:
            co_return respond_configuration(
                this->backend.configuration_in_force());
        case admin_resource::ready:
            co_return respond_ready(this->backend.is_ready());
        case admin_resource::patch:
            co_return co_await this->apply(request);
        case admin_resource::wrong_method:
            co_return respond_error(405, unknown_resource(request));
        case admin_resource::none:
            break;
        }
        co_return respond_error(404, unknown_resource(request));
    }

    /// Port on which the server listens, for endpoints with port 0.
    std::uint16_t get_port() const { return this->listener.get_port(); }

private:
    using tcp = boost::asio::ip::tcp;

    boost::asio::awaitable<void> accept_all()
    {
        return this->listener.accept_all([] { return true; },
            [this](tcp::socket socket) {
                const auto strand = socket.get_executor();
                boost::asio::co_spawn(strand, this->serve(std::move(socket)),
                    boost::asio::detached);
            },
            [](const core::error& cause) {
                write(event::make("operators.accept_failed")
                          .with("cause", cause));
            });
    }

    boost::asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer(max_admin_buffer_bytes);
        bool is_open = true;
        while (is_open)
        {
            auto request = co_await read_request(socket, buffer);
            if (!request)
            {
                co_return;
            }
            const bool is_persistent = request->keep_alive();
            const unsigned version = request->version();
            auto response = co_await this->handle_safely(std::move(*request));
            is_open = co_await write_response(
                socket, std::move(response), version, is_persistent);
        }
    }

    /// Converts an exception into a response with status 500, as it would
    /// otherwise only break the connection.
    boost::asio::awaitable<admin_response> handle_safely(admin_request request)
    {
        std::string cause;
        try
        {
            co_return co_await this->handle(std::move(request));
        }
        catch (const std::exception& failure)
        {
            cause = failure.what();
        }
        constexpr unsigned internal_error = 500;
        co_return respond_error(internal_error,
            core::error::make("handle admin request", "self", cause));
    }

    boost::asio::awaitable<admin_response> apply(const admin_request& request)
    {
        core::error reason;
        auto wanted = parse_patch_request(request, reason);
        if (!wanted)
        {
            co_return respond_reply(
                patch_reply::make(patch_outcome::invalid, {}, { reason }));
        }
        co_return respond_reply(
            co_await this->backend.apply(std::move(*wanted)));
    }

    static core::error unknown_resource(const admin_request& request)
    {
        return core::error::make("handle admin request",
            std::string(request.target()),
            "resource or method is not supported");
    }

    core::tcp_listener listener;
    Backend& backend;
};

} // namespace pollenward::operators
