#pragma once

#include "core/ids.hpp"
#include "core/runtime_timer.hpp"
#include "core/sharded_map.hpp"
#include "upstream/attempt_result.hpp"
#include "upstream/dispatch_result.hpp"
#include "upstream/exchange_result.hpp"
#include "upstream/forward_request.hpp"
#include "upstream/listed_worker.hpp"
#include "upstream/send_plan.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/post.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace pollenward::upstream {

/// One send of a request to a worker.
struct request_send {
    listed_worker target;
    core::time_point started_at;
    boost::asio::cancellation_signal cancel;
    /// Needed beside `cancel`, which has no effect on a coroutine that has not
    /// started yet.
    bool is_cancelled = false;
    std::optional<exchange_result> result;
    /// Whether the result has been processed.
    bool is_settled = false;
};

/// A request and all its sends. All members are used on one strand.
struct in_flight_request {
    in_flight_request(const boost::asio::any_io_executor& executor,
        const forward_request& request)
        : wake_timer(executor)
        , request(request)
    {
    }

    core::runtime_timer wake_timer;
    forward_request request;
    std::deque<request_send> sends;
    std::vector<core::worker_id> tried;
    std::optional<response_message> answer;
    run_certainty certainty = run_certainty::not_run;
    core::error cause = core::error::make(
        "choose worker", "self", "no worker is eligible for the request");

    send_progress progress() const
    {
        send_progress current;
        current.is_idempotent = this->request.is_idempotent();
        current.max_sends = this->request.get_max_attempts();
        current.deadline = this->request.get_deadline();
        for (const request_send& each : this->sends)
        {
            const bool is_waiting = !each.result;
            const bool may_have_run = is_waiting
                || certainty_of(each.result->get_result())
                    != run_certainty::not_run;
            current.sends += may_have_run ? 1 : 0;
            current.waiting += is_waiting ? 1 : 0;
            current.last_sent_at
                = is_waiting ? each.started_at : current.last_sent_at;
        }
        return current;
    }
};

using in_flight_request_ptr = std::shared_ptr<in_flight_request>;

/// The requests in flight.
class in_flight_table {
public:
    /// Keeps a request in the table for the lifetime of this object.
    class entry {
    public:
        entry(in_flight_table& table, const in_flight_request_ptr& shared)
            : table(table)
            , key(shared.get())
        {
            this->table.requests.store(this->key, shared);
        }
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;
        ~entry() { this->table.requests.erase(this->key); }

    private:
        in_flight_table& table;
        const in_flight_request* key;
    };

    /// Wakes each request so that it checks its state again.
    void wake_all() const
    {
        for (const auto& [key, each] : this->requests.entries())
        {
            if (const auto shared = each.lock())
            {
                boost::asio::post(shared->wake_timer.get_executor(),
                    [shared] { shared->wake_timer.cancel(); });
            }
        }
    }

private:
    core::sharded_map<const in_flight_request*,
        std::weak_ptr<in_flight_request>>
        requests;
};

} // namespace pollenward::upstream
