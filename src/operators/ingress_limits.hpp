#pragma once

#include "core/runtime_clock.hpp"
#include "core/units.hpp"

#include <compare>

namespace pollenward::operators {

/// Limits on callers: header and body size in bytes, the time to send a header
/// and the idle time of a connection in milliseconds.
class ingress_limits {
public:
    static ingress_limits make(core::byte_count header_bytes,
        core::byte_count body_bytes, core::milliseconds header_time,
        core::milliseconds idle)
    {
        ingress_limits made;
        made.header_bytes = header_bytes;
        made.body_bytes = body_bytes;
        made.header_time = header_time;
        made.idle = idle;
        return made;
    }

    core::byte_count get_header_bytes() const { return this->header_bytes; }
    core::byte_count get_body_bytes() const { return this->body_bytes; }
    core::milliseconds get_header_time() const { return this->header_time; }
    core::milliseconds get_idle() const { return this->idle; }

    auto operator<=>(const ingress_limits&) const = default;

private:
    core::byte_count header_bytes{ 16'384 };
    core::byte_count body_bytes{ 1'048'576 };
    core::milliseconds header_time{ 10'000 };
    core::milliseconds idle{ 60'000 };
};

} // namespace pollenward::operators
