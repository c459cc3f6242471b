#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/rank.hpp"
#include "core/runtime_clock.hpp"
#include "core/units.hpp"

#include <compare>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::operators {

/// Attempts of one request, each on a different worker. With more, one request
/// would use the retry budget of ten.
inline constexpr int default_max_attempts = 3;

/// A service that receives part of a kind's requests, and its weight.
class service_weight {
public:
    static service_weight make(core::service_id service, double weight)
    {
        service_weight made;
        made.service = std::move(service);
        made.weight = weight;
        return made;
    }

    const core::service_id& get_service() const { return this->service; }
    double get_weight() const { return this->weight; }

    auto operator<=>(const service_weight&) const = default;

private:
    core::service_id service;
    double weight = 0;
};

/// The declared settings of one kind of request.
class kind_settings {
public:
    /// Fails on an empty id or a timeout that is not positive.
    static std::optional<kind_settings> create(core::kind_id id,
        core::service_id service, bool is_idempotent, core::rank rank,
        core::milliseconds timeout, core::byte_count max_body,
        core::error& reason)
    {
        if (id.is_empty() || timeout <= core::milliseconds::zero())
        {
            reason = core::error::make(
                "check kind", id.str(), "needs an id and a positive timeout");
            return std::nullopt;
        }
        kind_settings made;
        made.id = std::move(id);
        made.service = std::move(service);
        made.idempotent = is_idempotent;
        made.rank = rank;
        made.timeout = timeout;
        made.max_body = max_body;
        return made;
    }

    const core::kind_id& get_id() const { return this->id; }
    const core::service_id& get_service() const { return this->service; }
    bool is_idempotent() const { return this->idempotent; }
    core::rank get_rank() const { return this->rank; }

    /// Time limit of a request whose caller sets none, in milliseconds.
    core::milliseconds get_timeout() const { return this->timeout; }

    /// Largest body accepted, in bytes.
    core::byte_count get_max_body() const { return this->max_body; }

    /// Response time, in milliseconds, within which an answer is worth most to
    /// its caller.
    core::milliseconds get_target_latency() const
    {
        return this->target_latency;
    }

    /// Maximum number of workers to which one request is sent.
    int get_max_attempts() const { return this->max_attempts; }

    /// The services among which requests of this kind are split; empty if all
    /// are sent to get_service().
    const std::vector<service_weight>& get_split() const { return this->split; }

    kind_settings with_service(core::service_id changed) const
    {
        kind_settings next = *this;
        next.service = std::move(changed);
        return next;
    }

    kind_settings with_target_latency(core::milliseconds changed) const
    {
        kind_settings next = *this;
        next.target_latency = changed;
        return next;
    }

    kind_settings with_max_attempts(int changed) const
    {
        kind_settings next = *this;
        next.max_attempts = changed;
        return next;
    }

    kind_settings with_split(std::vector<service_weight> changed) const
    {
        kind_settings next = *this;
        next.split = std::move(changed);
        return next;
    }

    auto operator<=>(const kind_settings&) const = default;

private:
    core::kind_id id;
    core::service_id service;
    bool idempotent = false;
    core::rank rank = core::rank::background;
    core::milliseconds timeout{};
    core::byte_count max_body;
    core::milliseconds target_latency{};
    int max_attempts = default_max_attempts;
    std::vector<service_weight> split;
};

} // namespace pollenward::operators
