#include "upstream/dispatch_state.hpp"

#include "upstream/retry_policy.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace pollenward::upstream {

namespace {

    concurrency_limit initial_limit(const service_dispatch_limits& limits)
    {
        return concurrency_limit::make(
            limits.get_slots_per_worker(), limits.get_connections());
    }

    worker with_leaving(const worker& who, bool is_leaving)
    {
        return worker::make(
            who.get_id(), who.get_address(), who.get_zone(), is_leaving);
    }

} // namespace

void dispatch_state::store_limits(
    const core::service_id& service, service_dispatch_limits next)
{
    this->limits.store(service,
        std::make_shared<const service_dispatch_limits>(std::move(next)));
}

void dispatch_state::store_share(
    const core::service_id& service, fleet_share share)
{
    this->shares.store(service, share);
}

void dispatch_state::set_overloaded(
    const core::service_id& service, const rank_flags& flags)
{
    this->overloaded.store(service, flags);
}

void dispatch_state::record_drain(
    const core::worker_id& who, drain_source source, core::time_point now)
{
    this->drains.update(who, [&](const std::optional<drain_state>& present) {
        return std::optional(
            present.value_or(drain_state{}).with_notice(source, now));
    });
    this->drains.erase_if([&](const core::worker_id&, const drain_state& each) {
        return !each.is_leaving(now);
    });
}

void dispatch_state::record_load(const core::worker_id& who, double hinted_load)
{
    this->activities.update(
        who, [&](const std::optional<worker_load_state>& present) {
            return present
                ? std::optional(present->with_reported_load(hinted_load))
                : std::nullopt;
        });
}

void dispatch_state::erase_unlisted(const std::vector<core::worker_id>& listed)
{
    const std::unordered_set<core::worker_id> kept(
        listed.begin(), listed.end());
    // The end of a request in flight still has to decrease its worker's count.
    this->activities.erase_if(
        [&](const core::worker_id& who, const worker_load_state& each) {
            return each.get_in_flight() == 0 && kept.count(who) == 0;
        });
    this->drains.erase_if([&](const core::worker_id& who, const drain_state&) {
        return kept.count(who) == 0;
    });
}

std::vector<core::worker_id> dispatch_state::draining_workers(
    core::time_point now) const
{
    std::vector<core::worker_id> found;
    for (const auto& [who, state] : this->drains.entries())
    {
        if (state.is_reported_by_worker(now))
        {
            found.push_back(who);
        }
    }
    return found;
}

int dispatch_state::in_flight(const core::worker_id& who) const
{
    const auto activity = this->activities.find(who);
    return activity ? activity->get_in_flight() : 0;
}

dispatch_state::shared_limits dispatch_state::limits_of(
    const core::service_id& service) const
{
    static const auto default_limits
        = std::make_shared<const service_dispatch_limits>();
    return this->limits.find(service).value_or(default_limits);
}

worker_candidates dispatch_state::candidates(const core::service_id& service,
    const std::vector<usable_worker>& standings, core::time_point now) const
{
    const shared_limits stored = this->limits_of(service);
    const auto& subset = stored->get_subset();
    worker_candidates found;
    for (const usable_worker& each : standings)
    {
        const worker& who = each.get_worker();
        if (subset && !subset->contains(who.get_id()))
        {
            continue;
        }
        const bool leaves = is_leaving(
            who.is_leaving(), this->drains.find(who.get_id()), now);
        const auto activity
            = this->activities.find(who.get_id())
                  .value_or(worker_load_state::make(initial_limit(*stored)));
        found.push_back(worker_candidate::make(
            usable_worker::make(
                with_leaving(who, leaves), each.get_state(), each.get_weight()),
            activity.get_in_flight(), activity.get_limit().get_limit(),
            activity.get_reported_load()));
    }
    return found;
}

core::slot_count dispatch_state::limit(const core::service_id& service,
    const std::vector<usable_worker>& standings, core::time_point now) const
{
    double learned = 0;
    for (const auto& each : this->candidates(service, standings, now))
    {
        const usable_worker& standing = each.get_standing();
        const bool gets_work = !standing.get_worker().is_leaving()
            && standing.get_state() != worker_state::ejected;
        learned += gets_work ? each.get_limit() * standing.get_weight() : 0;
    }
    const auto limiter = this->limiters.find(service).value_or(shed_limiter());
    return service_limit(std::min(learned, limiter.get_limit()),
        this->shares.find(service), this->limits_of(service)->get_safe_share(),
        now);
}

bool dispatch_state::is_overloaded(
    const core::service_id& service, core::rank rank) const
{
    const auto flags = this->overloaded.find(service).value_or(rank_flags());
    return flags[core::index_of(rank)];
}

void dispatch_state::count_request(const forward_request& request)
{
    this->budgets.visit(
        request.get_service(), [] { return rank_budgets(); },
        [&](rank_budgets& ranks) {
            auto& mine = ranks[core::index_of(request.get_rank())];
            mine = mine.with_request();
            return true;
        });
}

bool dispatch_state::try_acquire_retry(const forward_request& request,
    attempt_result result, int attempts, core::time_point now)
{
    const bool overload
        = this->is_overloaded(request.get_service(), request.get_rank());
    return this->budgets.visit(
        request.get_service(), [] { return rank_budgets(); },
        [&](rank_budgets& ranks) {
            auto& mine = ranks[core::index_of(request.get_rank())];
            if (decide_retry(request.is_idempotent(), result, attempts, mine,
                    overload, request.get_deadline(), now)
                == retry_decision::stop)
            {
                return false;
            }
            mine = mine.with_retry();
            return true;
        });
}

bool dispatch_state::try_acquire_resend(
    const forward_request& request, core::time_point now)
{
    // A silent connection is the result after which both another worker and
    // the same worker may be tried; the number of attempts does not count here.
    return this->try_acquire_retry(request, attempt_result::silent, 1, now);
}

int dispatch_state::start(
    const core::service_id& service, const core::worker_id& who)
{
    const shared_limits stored = this->limits_of(service);
    this->limiters.update(
        service, [](const std::optional<shed_limiter>& present) {
            return std::optional(present.value_or(shed_limiter()).with_start());
        });
    return this->activities.visit(
        who, [&] { return worker_load_state::make(initial_limit(*stored)); },
        [&](worker_load_state& mine) {
            mine = mine.with_in_flight(mine.get_in_flight() + 1);
            return mine.get_in_flight();
        });
}

void dispatch_state::finish(const core::service_id& service,
    const core::worker_id& who, attempt_result result, core::duration latency,
    int in_flight, core::time_point now)
{
    const auto min_limit
        = static_cast<double>(this->limits_of(service)->get_safe_share().get());
    this->limiters.update(
        service, [&](const std::optional<shed_limiter>& present) {
            const auto stored = present.value_or(shed_limiter());
            return std::optional(result == attempt_result::refused_shed
                    ? stored.with_shed(min_limit, now)
                    : stored.with_end());
        });
    this->activities.update(
        who, [&](const std::optional<worker_load_state>& present) {
            if (!present)
            {
                return present;
            }
            const auto done
                = present->with_in_flight(present->get_in_flight() - 1);
            const concurrency_limit& limit = done.get_limit();
            switch (result)
            {
            case attempt_result::answered:
                return std::optional(done.with_limit(
                    limit.with_answer(latency, in_flight, now)));
            case attempt_result::refused_shed:
            case attempt_result::timed_out:
                return std::optional(done.with_limit(limit.with_shed(now)));
            default:
                return std::optional(done);
            }
        });
}

} // namespace pollenward::upstream
