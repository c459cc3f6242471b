#pragma once

#include "core/runtime_clock.hpp"
#include "operators/ingress_limits.hpp"

#include <compare>
#include <cstdint>

namespace pollenward::caller {

/// Limits on the size of a request and on the time in which it is read.
class caller_limits {
public:
    static caller_limits make(const operators::ingress_limits& declared)
    {
        caller_limits made;
        made.header_bytes
            = static_cast<std::uint32_t>(declared.get_header_bytes().get());
        made.body_bytes = declared.get_body_bytes().get();
        made.header_time = declared.get_header_time();
        made.idle = declared.get_idle();
        return made;
    }

    std::uint32_t get_header_bytes() const { return this->header_bytes; }
    std::uint64_t get_body_bytes() const { return this->body_bytes; }
    core::duration get_header_time() const { return this->header_time; }
    core::duration get_body_time() const { return this->body_time; }
    core::duration get_idle() const { return this->idle; }

    auto operator<=>(const caller_limits&) const = default;

private:
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 1'048'576;
    core::duration header_time = core::seconds(10);
    core::duration body_time = core::seconds(30);
    core::duration idle = core::seconds(60);
};

} // namespace pollenward::caller
