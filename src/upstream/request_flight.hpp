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
struct flight_send {
    listed_worker who;
    core::time_point started_at;
    boost::asio::cancellation_signal cancel;
    /// The signal reaches a coroutine only once it has started.
    bool is_cancelled = false;
    std::optional<exchange_result> result;
    /// Its end has been looked at.
    bool is_settled = false;
};

/// A request and all its sends. Used on one strand only.
struct request_flight {
    request_flight(const boost::asio::any_io_executor& executor,
        const forward_request& request)
        : wake(executor)
        , request(request)
    {
    }

    core::runtime_timer wake;
    forward_request request;
    std::deque<flight_send> sends;
    std::vector<core::worker_id> tried;
    std::optional<response_message> answer;
    run_certainty certainty = run_certainty::not_run;
    core::error cause = core::error::make(
        "choose worker", "self", "no worker may get the request");

    send_progress progress() const
    {
        send_progress now;
        now.is_idempotent = this->request.is_idempotent();
        now.max_sends = this->request.get_max_attempts();
        now.deadline = this->request.get_deadline();
        for (const flight_send& each : this->sends)
        {
            const bool is_waiting = !each.result;
            const bool may_have_run = is_waiting
                || certainty_of(each.result->get_result())
                    != run_certainty::not_run;
            now.sends += may_have_run ? 1 : 0;
            now.waiting += is_waiting ? 1 : 0;
            now.last_sent_at = is_waiting ? each.started_at : now.last_sent_at;
        }
        return now;
    }
};

using shared_flight = std::shared_ptr<request_flight>;

/// The requests that are under way.
class flight_table {
public:
    /// Lists a request as long as it lives.
    class entry {
    public:
        entry(flight_table& table, const shared_flight& shared)
            : table(table)
            , key(shared.get())
        {
            this->table.flights.store(this->key, shared);
        }
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;
        ~entry() { this->table.flights.erase(this->key); }

    private:
        flight_table& table;
        const request_flight* key;
    };

    /// Makes each request look at its state again.
    void wake_all() const
    {
        for (const auto& [key, each] : this->flights.entries())
        {
            if (const auto shared = each.lock())
            {
                boost::asio::post(shared->wake.get_executor(),
                    [shared] { shared->wake.cancel(); });
            }
        }
    }

private:
    core::sharded_map<const request_flight*, std::weak_ptr<request_flight>>
        flights;
};

} // namespace pollenward::upstream
