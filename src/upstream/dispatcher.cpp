#include "upstream/dispatcher.hpp"

#include "core/rendezvous.hpp"
#include "upstream/worker_connection.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace pollenward::upstream {

namespace asio = boost::asio;

asio::awaitable<dispatch_result> dispatcher::dispatch(
    const forward_request& request)
{
    const auto workers = this->directory.find(request.get_service());
    if (workers.empty())
    {
        co_return dispatch_result::failed(run_certainty::not_run,
            core::error::make("choose worker", request.get_service().str(),
                "no worker is listed"));
    }
    const auto spread = core::rendezvous_score(request.get_id().str(), "");
    const worker& chosen = workers[spread % workers.size()];
    worker_connection connection(
        co_await asio::this_coro::executor, chosen.get_address());
    core::error reason;
    if (!co_await connection.connect(request.get_deadline(), reason))
    {
        co_return dispatch_result::failed(run_certainty::not_run, reason);
    }
    const auto result = co_await connection.exchange(request);
    if (result.get_response())
    {
        co_return dispatch_result::answered(*result.get_response());
    }
    co_return dispatch_result::failed(
        certainty_of(result.get_result()), result.get_cause());
}

} // namespace pollenward::upstream
