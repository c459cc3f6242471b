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

/// Provides the current concurrency limit and minimum shares of a service on
/// this daemon. Called without a lock, once for each request and once when it
/// ends.
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

/// Queues requests until their service has capacity for them. Each service has
/// its own queue; a waiting coroutine is suspended until it is admitted,
/// refused or past its deadline.
template <limit_source Limits>
class admission_gate {
public:
    explicit admission_gate(
        const Limits& limits, queue_bounds bounds = queue_bounds())
        : limits(limits)
        , bounds(bounds)
    {
    }

    /// Waits for admission. The coroutine must run on a strand and is resumed
    /// on the same one. Cancellation withdraws its ticket.
    boost::asio::awaitable<admission_decision> admit(
        const caller_request& request)
    {
        const core::service_id service = request.get_kind().get_service();
        const auto pending = std::make_shared<waiter>(
            co_await boost::asio::this_coro::executor, request.get_deadline());
        if (const auto decided = this->offer(service, request, pending))
        {
            co_return *decided;
        }
        boost::system::error_code ignored;
        co_await pending->timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        const auto decision = this->end_wait(service, pending->ticket);
        const auto state = co_await boost::asio::this_coro::cancellation_state;
        if (state.cancelled() != boost::asio::cancellation_type::none
            && decision.get_ticket())
        {
            this->finish(service, pending->ticket, std::nullopt);
            co_return admission_decision::refused(admission_refusal::deadline);
        }
        co_return decision;
    }

    /// Ends an admitted request and admits the next ones. `service_time` is
    /// how long it ran on a worker, if it did.
    void finish(const core::service_id& service, const admission_ticket& ticket,
        std::optional<core::duration> service_time)
    {
        const auto current = this->limits_of(service);
        this->visit(service, [&](service_state& state) {
            state.queue.finish(ticket, service_time);
            state.admit_waiting(current);
        });
    }

    /// Admits waiting requests up to the limit. Must be called after the limit
    /// changed for any reason other than the end of a request.
    void admit_waiting(const core::service_id& service)
    {
        const auto current = this->limits_of(service);
        this->visit(service,
            [&](service_state& state) { state.admit_waiting(current); });
    }

    /// Refuses all waiting and all later requests.
    void close()
    {
        this->closed = true;
        this->services.for_each([](service_state& state) {
            for (const auto& [number, pending] : state.waiters)
            {
                if (!pending->decision)
                {
                    state.queue.withdraw(pending->ticket);
                    state.resolve(pending->ticket,
                        admission_decision::refused(
                            admission_refusal::queue_full));
                }
            }
        });
    }

    /// Number of waiting and running requests of a service, by rank.
    std::array<double, core::rank_count> demand(const core::service_id& service)
    {
        return this->visit(service,
            [](const service_state& state) { return state.queue.demand(); });
    }

    /// For each rank, the result of admission_queue::is_overloaded().
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
    /// A suspended coroutine. Its timer is used on its own executor only.
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

        void resolve(
            const admission_ticket& ticket, const admission_decision& decision)
        {
            const auto found = this->waiters.find(ticket.get_number());
            if (found == this->waiters.end())
            {
                return;
            }
            const waiter_pointer pending = found->second;
            pending->decision = decision;
            // Posted, so that the cancellation runs after async_wait() has
            // started.
            boost::asio::post(pending->timer.get_executor(),
                [pending] { pending->timer.cancel(); });
        }

        void admit_waiting(const admission_limits& limits)
        {
            while (true)
            {
                const auto step = this->queue.admit_next(
                    limits, core::runtime_clock::now());
                for (const admission_ticket& ticket : step.get_expired())
                {
                    this->resolve(ticket,
                        admission_decision::refused(
                            admission_refusal::deadline));
                }
                if (!step.get_admitted())
                {
                    return;
                }
                this->resolve(*step.get_admitted(),
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

    /// Offers the request to its queue. Returns nullopt if it has to wait.
    std::optional<admission_decision> offer(const core::service_id& service,
        const caller_request& request, const waiter_pointer& pending)
    {
        if (this->closed)
        {
            return admission_decision::refused(admission_refusal::queue_full);
        }
        const auto current = this->limits_of(service);
        return this->visit(service, [&](service_state& state) {
            pending->ticket = admission_ticket::make(++state.last_number,
                request.get_kind().get_rank(), request.get_account(),
                request.get_deadline());
            const auto result = state.queue.offer(
                pending->ticket, current, core::runtime_clock::now());
            if (result.get_refusal())
            {
                return std::optional(
                    admission_decision::refused(*result.get_refusal()));
            }
            if (result.get_displaced())
            {
                state.resolve(*result.get_displaced(),
                    admission_decision::refused(admission_refusal::queue_full));
            }
            state.waiters.emplace(pending->ticket.get_number(), pending);
            state.admit_waiting(current);
            auto decided = pending->decision;
            if (decided)
            {
                state.waiters.erase(pending->ticket.get_number());
            }
            return decided;
        });
    }

    /// Returns the decision at the end of the wait. A ticket that is still
    /// waiting is withdrawn and refused for its deadline.
    admission_decision end_wait(
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
