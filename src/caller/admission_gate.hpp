#pragma once

#include "caller/admission_decision.hpp"
#include "caller/admission_queue.hpp"
#include "caller/caller_request.hpp"
#include "core/runtime_timer.hpp"
#include "core/sharded_map.hpp"

#include <boost/asio/post.hpp>

#include <array>
#include <atomic>
#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace pollenward::caller {

/// Tells how much of a service this daemon may use at the moment. It is asked
/// under no lock, once for each request and each end of a request.
template <class Type>
concept limit_source
    = requires(const Type& type, const core::service_id& service) {
          {
              type.limit(service)
          } -> std::same_as<double>;
          {
              type.minimum_shares(service)
          } -> std::same_as<operators::rank_shares>;
      };

/// Lets requests wait until their service has capacity for them. Each service
/// has its own queue; a waiting coroutine sleeps until it is admitted, refused
/// or out of time.
template <limit_source Limits>
class admission_gate {
public:
    explicit admission_gate(
        const Limits& limits, queue_bounds bounds = queue_bounds())
        : limits(limits)
        , bounds(bounds)
    {
    }

    /// Waits for admission. The coroutine must run on a strand, on which it
    /// is also resumed. When it is cancelled, its ticket is withdrawn.
    boost::asio::awaitable<admission_decision> admit(
        const caller_request& request)
    {
        const core::service_id service = request.get_kind().get_service();
        const auto sleeper = std::make_shared<waiter>(
            co_await boost::asio::this_coro::executor, request.get_deadline());
        if (const auto decided = this->offer(service, request, sleeper))
        {
            co_return *decided;
        }
        boost::system::error_code ignored;
        co_await sleeper->timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        const auto decision = this->conclude(service, sleeper->ticket);
        const auto state = co_await boost::asio::this_coro::cancellation_state;
        if (state.cancelled() != boost::asio::cancellation_type::none
            && decision.get_ticket())
        {
            this->finish(service, sleeper->ticket, std::nullopt);
            co_return admission_decision::refused(admission_refusal::deadline);
        }
        co_return decision;
    }

    /// Ends an admitted request and admits the next ones. `service_time` is
    /// how long it ran on a worker, if it did.
    void finish(const core::service_id& service, const admission_ticket& ticket,
        std::optional<core::duration> service_time)
    {
        const auto present = this->limits_of(service);
        this->visit(service, [&](service_state& state) {
            state.queue.finish(ticket, service_time);
            state.advance(present);
        });
    }

    /// Admits requests for which there is room now, after the limit changed
    /// for another reason than the end of a request.
    void advance(const core::service_id& service)
    {
        const auto present = this->limits_of(service);
        this->visit(
            service, [&](service_state& state) { state.advance(present); });
    }

    /// Refuses all requests that wait, and those that come from now on.
    void close()
    {
        this->closed = true;
        this->services.for_each([](service_state& state) {
            for (const auto& [number, sleeper] : state.waiters)
            {
                if (!sleeper->decision)
                {
                    state.queue.withdraw(sleeper->ticket);
                    state.decide(sleeper->ticket,
                        admission_decision::refused(
                            admission_refusal::queue_full));
                }
            }
        });
    }

    /// Requests of a service that wait or run, by rank.
    std::array<double, core::rank_count> demand(const core::service_id& service)
    {
        return this->visit(service,
            [](const service_state& state) { return state.queue.demand(); });
    }

    /// For each rank, whether requests of it or of a more urgent one wait.
    std::array<bool, core::rank_count> overloaded_ranks(
        const core::service_id& service)
    {
        const auto now = core::runtime_clock::now();
        return this->visit(service, [&](const service_state& state) {
            std::array<bool, core::rank_count> flags{};
            for (const core::rank rank : core::all_ranks)
            {
                flags[core::index_of(rank)]
                    = state.queue.is_overloaded(rank, now);
            }
            return flags;
        });
    }

private:
    /// A sleeping coroutine. Its timer is used on its own executor only.
    struct waiter {
        waiter(const boost::asio::any_io_executor& executor,
            core::time_point until)
            : timer(executor, until)
        {
        }

        core::runtime_timer timer;
        admission_ticket ticket;
        // Guarded by the lock of the service's shard.
        std::optional<admission_decision> decision;
    };

    using waiter_pointer = std::shared_ptr<waiter>;

    struct service_state {
        explicit service_state(queue_bounds bounds)
            : queue(bounds)
        {
        }

        void decide(
            const admission_ticket& ticket, const admission_decision& decision)
        {
            const auto found = this->waiters.find(ticket.get_number());
            if (found == this->waiters.end())
            {
                return;
            }
            const waiter_pointer sleeper = found->second;
            sleeper->decision = decision;
            // Posted, so that it runs after the wait has begun.
            boost::asio::post(sleeper->timer.get_executor(),
                [sleeper] { sleeper->timer.cancel(); });
        }

        void advance(const admission_limits& limits)
        {
            while (true)
            {
                const auto step
                    = this->queue.next(limits, core::runtime_clock::now());
                for (const admission_ticket& ticket : step.get_expired())
                {
                    this->decide(ticket,
                        admission_decision::refused(
                            admission_refusal::deadline));
                }
                if (!step.get_admitted())
                {
                    return;
                }
                this->decide(*step.get_admitted(),
                    admission_decision::admitted(*step.get_admitted()));
            }
        }

        admission_queue queue;
        std::unordered_map<std::uint64_t, waiter_pointer> waiters;
        std::uint64_t last_number = 0;
    };

    template <class Visit>
    auto visit(const core::service_id& service, Visit visit)
    {
        return this->services.visit(
            service, [this] { return service_state(this->bounds); }, visit);
    }

    admission_limits limits_of(const core::service_id& service) const
    {
        return admission_limits::make(
            this->limits.limit(service), this->limits.minimum_shares(service));
    }

    /// Offers the request to its queue. Nothing if it has to wait.
    std::optional<admission_decision> offer(const core::service_id& service,
        const caller_request& request, const waiter_pointer& sleeper)
    {
        if (this->closed)
        {
            return admission_decision::refused(admission_refusal::queue_full);
        }
        const auto present = this->limits_of(service);
        return this->visit(service, [&](service_state& state) {
            sleeper->ticket = admission_ticket::make(++state.last_number,
                request.get_kind().get_rank(), request.get_account(),
                request.get_deadline());
            const auto result = state.queue.offer(
                sleeper->ticket, present, core::runtime_clock::now());
            if (result.get_refusal())
            {
                return std::optional(
                    admission_decision::refused(*result.get_refusal()));
            }
            if (result.get_displaced())
            {
                state.decide(*result.get_displaced(),
                    admission_decision::refused(admission_refusal::queue_full));
            }
            state.waiters.emplace(sleeper->ticket.get_number(), sleeper);
            state.advance(present);
            auto decided = sleeper->decision;
            if (decided)
            {
                state.waiters.erase(sleeper->ticket.get_number());
            }
            return decided;
        });
    }

    /// What was decided by the time the wait ended; a ticket that still waits
    /// is withdrawn.
    admission_decision conclude(
        const core::service_id& service, const admission_ticket& ticket)
    {
        return this->visit(service, [&](service_state& state) {
            const auto node = state.waiters.extract(ticket.get_number());
            const auto& decision = node.mapped()->decision;
            if (!decision)
            {
                state.queue.withdraw(ticket);
            }
            return decision.value_or(
                admission_decision::refused(admission_refusal::deadline));
        });
    }

    const Limits& limits;
    queue_bounds bounds;
    std::atomic<bool> closed{ false };
    core::sharded_map<core::service_id, service_state> services;
};

} // namespace pollenward::caller
