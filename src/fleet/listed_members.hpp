#pragma once

#include "core/runtime_clock.hpp"
#include "core/store_revision.hpp"
#include "fleet/member.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// Whether the list has the entry that `self` wrote. An older copy of the store
/// may have that of an earlier run, with another address.
inline bool has_entry_of(const std::vector<member>& listed, const member& self)
{
    return std::any_of(listed.begin(), listed.end(), [&](const member& each) {
        return each.get_id() == self.get_id()
            && each.get_address() == self.get_address()
            && each.get_zone() == self.get_zone();
    });
}

/// The daemons of the fleet as the store lists them. If the store returns to an
/// older copy of the list, daemons that the copy lacks are kept until they had
/// time to register again: what all daemons may do together is divided by their
/// number. Not thread-safe.
class listed_members {
public:
    /// Each daemon reads the list every four seconds, and registers again when
    /// it is not listed.
    static constexpr core::seconds reregistration_time{ 10 };

    /// Returns the daemons of the fleet after a list of the era `stated`, or of
    /// the last one if that is 0. A list of an earlier era changes nothing.
    const std::vector<member>& store(std::vector<member> listed,
        core::store_era stated, core::time_point now)
    {
        const auto from = stated == core::store_era(0) ? this->era : stated;
        if (from < this->era)
        {
            return this->members;
        }
        if (this->era < from && this->era != core::store_era(0))
        {
            this->kept = std::exchange(this->members, {});
            this->kept_until = now + reregistration_time;
        }
        this->era = from;
        if (now >= this->kept_until)
        {
            this->kept.clear();
        }
        this->members = std::move(listed);
        for (const member& each : this->kept)
        {
            const bool is_listed = std::any_of(this->members.begin(),
                this->members.end(), [&](const member& other) {
                    return other.get_id() == each.get_id();
                });
            if (!is_listed)
            {
                this->members.push_back(each);
            }
        }
        return this->members;
    }

private:
    core::store_era era;
    std::vector<member> members;
    /// The members of the last list before the store returned to a copy.
    std::vector<member> kept;
    core::time_point kept_until = core::time_point::min();
};

} // namespace pollenward::fleet
