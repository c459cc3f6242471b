#pragma once

#include "caller/caller_answer.hpp"
#include "caller/caller_request.hpp"
#include "upstream/dispatch_result.hpp"
#include "upstream/forward_request.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <utility>

namespace pollenward::caller {

/// Sends an admitted request to a worker, with retries.
template <class Type>
concept dispatcher
    = requires(Type& type, const upstream::forward_request& request) {
          {
              type.dispatch(request)
          } -> std::same_as<boost::asio::awaitable<upstream::dispatch_result>>;
      };

/// What the caller is told after a dispatch.
inline caller_answer answer_of(const upstream::dispatch_result& result)
{
    if (const auto& response = result.get_response())
    {
        return caller_answer::make(outcome::answered(response->get_status()),
            response->get_headers(), response->get_body());
    }
    const std::string reason = result.get_cause().describe();
    if (result.get_certainty() == upstream::run_certainty::not_run)
    {
        constexpr core::milliseconds retry_after(1000);
        return caller_answer::without_body(
            outcome::not_run(503, reason, retry_after));
    }
    return caller_answer::without_body(outcome::unknown(502, reason));
}

/// The path of one request from its admission to its answer.
template <dispatcher Dispatcher>
class request_flow {
public:
    explicit request_flow(Dispatcher& upstreams)
        : upstreams(upstreams)
    {
    }

    boost::asio::awaitable<caller_answer> handle(caller_request request)
    {
        const auto& kind = request.get_kind();
        const auto forward = upstream::forward_request::make(request.get_id(),
            kind.get_service(), kind.get_id(), kind.get_rank(),
            kind.is_idempotent(), request.get_deadline(),
            request.get_message());
        co_return answer_of(co_await this->upstreams.dispatch(forward));
    }

private:
    Dispatcher& upstreams;
};

} // namespace pollenward::caller
