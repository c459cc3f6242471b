#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"

#include <optional>

namespace pollenward::upstream::testing {

/// The timeouts of a configuration that has one kind of request, or none.
struct one_timeout {
    std::optional<core::milliseconds> find_timeout(
        const core::kind_id& /*kind*/) const
    {
        return this->timeout;
    }

    std::optional<core::milliseconds> timeout;
};

} // namespace pollenward::upstream::testing
