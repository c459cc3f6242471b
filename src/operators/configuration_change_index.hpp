#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "operators/configuration.hpp"
#include "operators/configuration_part.hpp"
#include "operators/kind_entry.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace pollenward::operators {

/// The version in which each kind of request was last changed, used to send
/// another daemon the changes that it lacks. Not thread-safe.
class configuration_change_index {
public:
    /// Kinds in one part. A part of about ten kilobytes delays the other
    /// messages on a slow link by some milliseconds only.
    static constexpr std::size_t max_part_size = 64;
    /// Removed kinds that are kept; beyond that, a daemon that lacks an older
    /// removal gets all kinds.
    static constexpr std::size_t max_removed = 2000;
    /// Versions from which the changes are known: an hour of a day with 950
    /// changes.
    static constexpr std::size_t max_numbers = 64;

    /// Records a version that is newer than all before it.
    void on_version(const configuration& next);

    /// Number of the latest version; 0 before the first.
    core::version_number get_number() const;

    /// The part after the position of the request, or the first part of a
    /// transfer of all kinds if the base of the request was not recorded: a
    /// kind can differ there although it is the same in the versions before
    /// and after it. Changes that a later version makes during a transfer are
    /// part of it.
    configuration_part part_after(const configuration_request& request) const;

private:
    struct record {
        core::version_number changed_in;
        kind_entry entry;
    };

    void store(kind_entry changed, core::version_number number);
    void drop_removed();

    std::map<core::kind_id, record> records;
    /// The positions of all records.
    std::set<change_position> order;
    std::size_t removed_count = 0;
    /// The recorded versions since which all changes are known.
    std::set<core::version_number> numbers;
    /// The latest version, without kinds and routes.
    std::optional<configuration> general;
};

} // namespace pollenward::operators
