#pragma once

#include "main/ctl_transport.hpp"
#include "operators/configuration_json.hpp"
#include "operators/patch_decision.hpp"
#include "operators/patch_reply.hpp"
#include "operators/status_json.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pollenward::main {

/// How often all daemons are polled for the outcome of a patch whose response
/// was lost, and the time between the polls. Together they exceed the 6 s
/// within which an accepted version is in force everywhere.
inline constexpr int max_outcome_polls = 10;
inline constexpr core::milliseconds outcome_poll_interval{ 1000 };

/// Determines the outcome of a patch whose response was lost from a
/// configuration in force; empty if the configuration does not decide it.
inline std::optional<operators::patch_reply> find_patch_outcome(
    const operators::configuration& in_force, const operators::patch& wanted)
{
    using operators::patch_outcome;
    if (const auto record = operators::find_patch(in_force, wanted.get_id()))
    {
        const bool is_same_patch = record->get_digest().empty()
            || record->get_digest() == wanted.get_digest();
        return operators::patch_reply::make(
            is_same_patch ? patch_outcome::accepted : patch_outcome::ambiguous,
            record->get_number());
    }
    // Another patch created the next number, so this one can no longer take
    // effect, unless the configuration no longer lists patches that old.
    const auto number = in_force.get_number();
    const auto last_recorded = wanted.get_base_number()
        + core::version_number(operators::max_recorded_patches);
    if (number > wanted.get_base_number() && number <= last_recorded)
    {
        return operators::patch_reply::make(patch_outcome::stale, number);
    }
    return std::nullopt;
}

template <ctl_transport Transport>
operators::patch_reply poll_patch_outcome(Transport& transport,
    const std::vector<core::endpoint>& daemons, const operators::patch& wanted,
    const core::error& cause)
{
    for (int round = 0; round < max_outcome_polls; ++round)
    {
        for (const core::endpoint& daemon : daemons)
        {
            const auto result = transport.get(daemon, "/configuration");
            std::vector<core::error> faults;
            const auto in_force = result.is_ok()
                ? operators::decode_configuration(result.get_body(), faults)
                : std::nullopt;
            const auto outcome = in_force
                ? find_patch_outcome(*in_force, wanted)
                : std::nullopt;
            if (outcome)
            {
                return *outcome;
            }
        }
        transport.pause(outcome_poll_interval);
    }
    return operators::patch_reply::make(
        operators::patch_outcome::unknown, {}, { cause });
}

/// Sends a patch to the first reachable daemon. Never sends it again after a
/// daemon may have executed it.
template <ctl_transport Transport>
operators::patch_reply send_patch(Transport& transport,
    const std::vector<core::endpoint>& daemons, const operators::patch& wanted)
{
    using operators::patch_outcome;
    core::error cause = core::error::make(
        "send patch", wanted.get_id().str(), "no daemon endpoint was given");
    for (const core::endpoint& daemon : daemons)
    {
        const auto result = transport.post_patch(daemon, wanted);
        cause = result.get_cause();
        if (result.get_delivery() == ctl_delivery::not_sent)
        {
            continue;
        }
        const auto reply = operators::decode_reply(result.get_body());
        if (!reply || reply->get_outcome() == patch_outcome::unknown)
        {
            return poll_patch_outcome(transport, daemons, wanted,
                reply || result.get_delivery() == ctl_delivery::lost
                    ? cause
                    : core::error::make("send patch", daemon.str(),
                        "status " + std::to_string(result.get_status())));
        }
        if (reply->get_outcome() != patch_outcome::unavailable)
        {
            return *reply;
        }
        cause = reply->get_faults().empty() ? cause : reply->get_faults()[0];
    }
    return operators::patch_reply::make(
        patch_outcome::unavailable, {}, { cause });
}

} // namespace pollenward::main
