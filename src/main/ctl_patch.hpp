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

/// Rounds over all daemons in which a lost response is settled, and the pause
/// between them. Together they exceed the 6 s within which an accepted version
/// is in force everywhere.
inline constexpr int settle_rounds = 10;
inline constexpr core::milliseconds settle_pause{ 1000 };

/// What a configuration in force says about a patch whose response was lost;
/// nothing if it does not decide.
inline std::optional<operators::patch_reply> settle_by(
    const operators::configuration& in_force, const operators::patch& wanted)
{
    using operators::patch_outcome;
    if (const auto record = operators::find_patch(in_force, wanted.get_id()))
    {
        const bool is_ours = record->get_digest().empty()
            || record->get_digest() == wanted.get_digest();
        return operators::patch_reply::make(
            is_ours ? patch_outcome::accepted : patch_outcome::ambiguous,
            record->get_number());
    }
    // Another patch led to the next number, so this one can no longer take
    // effect, unless it is older than what a configuration remembers.
    const auto number = in_force.get_number();
    const auto last_with_mark = wanted.get_base_number()
        + core::version_number(operators::max_recorded_patches);
    if (number > wanted.get_base_number() && number <= last_with_mark)
    {
        return operators::patch_reply::make(patch_outcome::stale, number);
    }
    return std::nullopt;
}

template <ctl_transport Transport>
operators::patch_reply settle_patch(Transport& transport,
    const std::vector<core::endpoint>& daemons, const operators::patch& wanted,
    const core::error& cause)
{
    for (int round = 0; round < settle_rounds; ++round)
    {
        for (const core::endpoint& daemon : daemons)
        {
            const auto answer = transport.get(daemon, "/configuration");
            std::vector<core::error> faults;
            const auto in_force = answer.is_ok()
                ? operators::decode_configuration(answer.get_body(), faults)
                : std::nullopt;
            const auto settled
                = in_force ? settle_by(*in_force, wanted) : std::nullopt;
            if (settled)
            {
                return *settled;
            }
        }
        transport.pause(settle_pause);
    }
    return operators::patch_reply::make(
        operators::patch_outcome::unknown, {}, { cause });
}

/// Sends a patch to the first daemon that can be reached. It is never sent
/// again after a daemon may have executed it.
template <ctl_transport Transport>
operators::patch_reply send_patch(Transport& transport,
    const std::vector<core::endpoint>& daemons, const operators::patch& wanted)
{
    using operators::patch_outcome;
    core::error cause = core::error::make(
        "send patch", wanted.get_id().str(), "no daemon is named");
    for (const core::endpoint& daemon : daemons)
    {
        const auto answer = transport.post_patch(daemon, wanted);
        cause = answer.get_cause();
        if (answer.get_delivery() == ctl_delivery::not_sent)
        {
            continue;
        }
        const auto reply = operators::decode_reply(answer.get_body());
        if (!reply || reply->get_outcome() == patch_outcome::unknown)
        {
            return settle_patch(transport, daemons, wanted,
                reply || answer.get_delivery() == ctl_delivery::lost
                    ? cause
                    : core::error::make("send patch", daemon.str(),
                        "status " + std::to_string(answer.get_status())));
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
