#pragma once

#include "core/runtime_clock.hpp"
#include "upstream/forward_request.hpp"

#include <algorithm>
#include <concepts>
#include <optional>

namespace pollenward::upstream {

/// Provides the timeout that the configuration in force gives a kind of
/// request; nothing if it does not have the kind.
template <class Type>
concept timeout_source
    = requires(const Type& source, const core::kind_id& kind) {
          {
              source.find_timeout(kind)
          } -> std::same_as<std::optional<core::milliseconds>>;
      };

/// A source for requests whose deadline holds whatever the configuration.
struct no_timeouts {
    std::optional<core::milliseconds> find_timeout(
        const core::kind_id& /*kind*/) const
    {
        return std::nullopt;
    }
};

inline constexpr no_timeouts without_timeouts{};

/// A worker ends a request by itself at the deadline that it was given. Its
/// answer arrives a round trip later, which takes 60 ms across regions.
inline constexpr core::milliseconds own_end_time{ 100 };

/// Until when a daemon that stops waits for the answer to a request that it has
/// passed on: as long as the caller and the configuration in force allow,
/// counted from the last byte of the request, and so long that a worker can end
/// it by itself. Never less than the deadline of the request, which counts from
/// the header and the configuration of that time.
template <timeout_source Timeouts>
core::time_point stop_deadline(
    const forward_request& request, const Timeouts& timeouts)
{
    const auto timeout = timeouts.find_timeout(request.get_kind());
    if (!timeout)
    {
        return request.get_deadline();
    }
    const caller_patience& caller = request.get_patience();
    return std::max(request.get_deadline(),
        std::min(
            caller.get_end(), caller.get_whole_at() + *timeout + own_end_time));
}

} // namespace pollenward::upstream
