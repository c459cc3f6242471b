#include "upstream/worker_call.hpp"

#include "core/rank.hpp"
#include "upstream/worker_connection.hpp"

#include <boost/asio/this_coro.hpp>

#include <utility>

namespace pollenward::upstream {

namespace asio = boost::asio;

asio::awaitable<std::optional<response_message>> call_worker(
    core::endpoint remote, std::string method, std::string target,
    core::time_point deadline)
{
    worker_connection connection(
        co_await asio::this_coro::executor, std::move(remote));
    core::error reason;
    if (!co_await connection.connect(deadline, reason))
    {
        co_return std::nullopt;
    }
    const auto call = forward_request::make(core::request_id("control"), {}, {},
        core::rank::background, false, deadline,
        request_message::make(std::move(method), std::move(target), {}, {}));
    const auto result = co_await connection.exchange_without_cancel(call);
    co_return result.get_response();
}

} // namespace pollenward::upstream
