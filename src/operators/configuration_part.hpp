#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "operators/configuration.hpp"
#include "operators/kind_entry.hpp"

#include <compare>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::operators {

/// A position in the changes of a configuration, which are ordered by the
/// number of the version that made them and then by kind.
class change_position {
public:
    static change_position make(core::version_number number, core::kind_id kind)
    {
        change_position made;
        made.number = number;
        made.kind = std::move(kind);
        return made;
    }

    core::version_number get_number() const { return this->number; }
    const core::kind_id& get_kind() const { return this->kind; }

    auto operator<=>(const change_position&) const = default;

private:
    core::version_number number;
    core::kind_id kind;
};

/// Asks for the changes of a configuration after a position.
class configuration_request {
public:
    /// `base` is the number of the version that the changes are applied to; 0
    /// if they are applied to an empty one.
    static configuration_request make(
        core::version_number base, change_position after)
    {
        configuration_request made;
        made.base = base;
        made.after = std::move(after);
        return made;
    }

    /// The first request of a transfer. No kind has an empty id.
    static configuration_request from_start(core::version_number base)
    {
        return make(
            base, change_position::make(base + core::version_number(1), {}));
    }

    core::version_number get_base() const { return this->base; }
    const change_position& get_after() const { return this->after; }

    auto operator<=>(const configuration_request&) const = default;

private:
    core::version_number base;
    change_position after;
};

/// Some changes of a configuration. The last part of a transfer also has the
/// settings that do not belong to a kind.
class configuration_part {
public:
    /// `next` asks for the part after this one.
    static configuration_part make(
        configuration_request next, std::vector<kind_entry> entries)
    {
        configuration_part made;
        made.next = std::move(next);
        made.entries = std::move(entries);
        return made;
    }

    /// A copy that ends its transfer. `completed` is the version without its
    /// kinds and routes, `kinds` the number of kinds that it declares.
    configuration_part with_end(
        configuration completed, std::size_t kinds) const
    {
        configuration_part last = *this;
        last.general = std::move(completed);
        last.kind_count = kinds;
        return last;
    }

    const configuration_request& get_next() const { return this->next; }
    const std::vector<kind_entry>& get_entries() const { return this->entries; }
    /// Nothing unless this is the last part of its transfer.
    const std::optional<configuration>& get_general() const
    {
        return this->general;
    }
    std::size_t get_kind_count() const { return this->kind_count; }

    auto operator<=>(const configuration_part&) const = default;

private:
    configuration_request next;
    std::vector<kind_entry> entries;
    std::optional<configuration> general;
    std::size_t kind_count = 0;
};

} // namespace pollenward::operators
