#pragma once

#include "core/error.hpp"
#include "platform/stored_object.hpp"

#include <compare>
#include <optional>
#include <utility>

namespace pollenward::platform {

enum class read_state { found, absent, unknown };

/// The result of reading one object. An absent object and a store that did not
/// respond are different results: only the first permits a first write.
class read_result {
public:
    static read_result found(stored_object object)
    {
        return read_result(read_state::found, std::move(object), {});
    }

    static read_result absent()
    {
        return read_result(read_state::absent, std::nullopt, {});
    }

    static read_result unknown(core::error cause)
    {
        return read_result(read_state::unknown, std::nullopt, std::move(cause));
    }

    read_state get_state() const { return this->state; }
    const std::optional<stored_object>& get_object() const
    {
        return this->object;
    }
    const core::error& get_cause() const { return this->cause; }

    auto operator<=>(const read_result&) const = default;

private:
    read_result(read_state state, std::optional<stored_object> object,
        core::error cause)
        : state(state)
        , object(std::move(object))
        , cause(std::move(cause))
    {
    }

    read_state state;
    std::optional<stored_object> object;
    core::error cause;
};

} // namespace pollenward::platform
