#pragma once

#include "core/error.hpp"
#include "core/units.hpp"

#include <compare>
#include <utility>

namespace pollenward::platform {

enum class update_state {
    /// The store has the new value.
    applied,
    /// The store has another version than the expected one.
    conflict,
    /// No valid response arrived; the write may still be applied.
    unknown
};

/// The result of a conditional update.
class update_result {
public:
    static update_result applied(core::version_number version)
    {
        return update_result(update_state::applied, version, {});
    }

    /// `version` is the version in the store, 0 if the object is absent.
    static update_result conflict(core::version_number version)
    {
        return update_result(update_state::conflict, version, {});
    }

    static update_result unknown(core::error cause)
    {
        return update_result(update_state::unknown, {}, std::move(cause));
    }

    update_state get_state() const { return this->state; }
    /// Version in the store after the call; 0 if the state is unknown.
    core::version_number get_version() const { return this->version; }
    const core::error& get_cause() const { return this->cause; }

    auto operator<=>(const update_result&) const = default;

private:
    update_result(
        update_state state, core::version_number version, core::error cause)
        : state(state)
        , version(version)
        , cause(std::move(cause))
    {
    }

    update_state state;
    core::version_number version;
    core::error cause;
};

} // namespace pollenward::platform
