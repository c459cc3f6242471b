#include "main/ctl_client.hpp"

#include "core/runtime_timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <utility>

namespace pollenward::main {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using asio::ip::tcp;
    using http_request = http::request<http::string_body>;

    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    constexpr core::seconds connect_limit{ 2 };
    /// Exceeds the time in which a daemon determines the outcome of a write
    /// that the store did not confirm (operators::patch_service::max_rounds).
    constexpr core::seconds response_limit{ 35 };

    ctl_result result_or_lost(
        std::optional<ctl_result> result, core::error late)
    {
        return result ? std::move(*result) : ctl_result::lost(std::move(late));
    }

    asio::awaitable<ctl_result> exchange(
        tcp::socket& socket, core::endpoint daemon, http_request request)
    {
        const auto [write_failure, written]
            = co_await http::async_write(socket, request, token);
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> incoming;
        incoming.body_limit(std::uint64_t(64) * 1024 * 1024);
        const auto [read_failure, read]
            = co_await http::async_read(socket, buffer, incoming, token);
        if (write_failure || read_failure)
        {
            const auto& first = write_failure ? write_failure : read_failure;
            co_return ctl_result::lost(core::error::make(
                "read response", daemon.str(), first.message()));
        }
        co_return ctl_result::answered(
            incoming.get().result_int(), std::move(incoming.get().body()));
    }

    asio::awaitable<ctl_result> call(
        core::endpoint daemon, http_request request)
    {
        tcp::socket socket(co_await asio::this_coro::executor);
        const tcp::endpoint remote(
            asio::ip::make_address(daemon.get_address()), daemon.get_port());
        const auto connected
            = co_await core::with_deadline(socket.async_connect(remote, token),
                core::runtime_clock::now() + connect_limit);
        if (!connected || std::get<0>(*connected))
        {
            co_return ctl_result::not_sent(
                core::error::make("connect", daemon.str(),
                    connected ? std::get<0>(*connected).message()
                              : "no response in time"));
        }
        request.set(http::field::host, daemon.str());
        request.prepare_payload();
        auto result = co_await core::with_deadline(
            exchange(socket, daemon, std::move(request)),
            core::runtime_clock::now() + response_limit);
        co_return result_or_lost(std::move(result),
            core::error::make(
                "read response", daemon.str(), "no response in time"));
    }

    ctl_result run(const core::endpoint& daemon, http_request request)
    {
        asio::io_context context(1);
        std::optional<ctl_result> result;
        const auto store = [&]() -> asio::awaitable<void> {
            result = co_await call(daemon, std::move(request));
        };
        asio::co_spawn(context, store, asio::detached);
        context.run();
        return result_or_lost(std::move(result),
            core::error::make("call daemon", daemon.str(), "failed"));
    }

} // namespace

ctl_result ctl_client::get(
    const core::endpoint& daemon, const std::string& target)
{
    return run(daemon, http_request(http::verb::get, target, 11));
}

ctl_result ctl_client::post_patch(
    const core::endpoint& daemon, const operators::patch& wanted)
{
    http_request request(http::verb::post, "/patch", 11, wanted.get_content());
    request.set("Patch-Id", wanted.get_id().str());
    request.set(
        "Patch-Version", std::to_string(wanted.get_base_number().get()));
    return run(daemon, std::move(request));
}

void ctl_client::pause(core::milliseconds delay)
{
    asio::io_context context(1);
    asio::co_spawn(context,
        core::wait_until(core::runtime_clock::now() + delay), asio::detached);
    context.run();
}

} // namespace pollenward::main
