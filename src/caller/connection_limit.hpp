#pragma once

#include "caller/connection_table.hpp"
#include "core/runtime_clock.hpp"

#include <cstddef>

namespace pollenward::caller {

/// A server has an eighth more connections open than it serves, to refuse
/// requests on them.
inline constexpr std::size_t refused_share = 8;

/// Bounds the open connections. Used on the listener's executor only.
class connection_limit {
public:
    connection_limit(connection_table& connections, std::size_t max_served);

    /// Whether one more connection can be served, at the expense of others if
    /// there are too many.
    bool has_capacity();

    /// Whether there is room for a connection, be it one whose request is only
    /// refused. Makes room otherwise.
    bool has_room();

private:
    bool evict(core::duration min_time);

    connection_table& connections;
    std::size_t max_served;
    std::size_t max_open;
    bool was_full = false;
};

} // namespace pollenward::caller
