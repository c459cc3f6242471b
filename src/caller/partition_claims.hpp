#pragma once

#include "caller/claim_answer.hpp"
#include "caller/claim_record.hpp"
#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/units.hpp"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pollenward::caller {

/// The claims of one partition at one owner. All operations run under one lock,
/// so that no claim is granted for an old roster after a copy was returned for
/// a new one.
class partition_claims {
public:
    /// Starts to own the partition at a roster version. `is_complete` is true
    /// if no claim can have been granted before.
    void start_owning(
        core::version_number version, bool is_complete, core::time_point now);

    /// Continues to own the partition at a later roster version.
    void keep_owning(core::version_number version);

    /// Removes all claims, because this daemon no longer owns the partition.
    void stop_owning(core::version_number version);

    bool is_owned() const { return this->owned; }
    core::version_number get_version() const { return this->version; }

    claim_answer claim(const core::request_id& id, std::uint64_t fingerprint,
        const claimant& holder, core::version_number version, bool has_quorum,
        core::time_point now);

    /// Records how a claimed request ended. Ignored unless `holder` has the
    /// claim.
    void settle(
        const core::request_id& id, const claimant& holder, claim_state state);

    /// Returns all claims for the other owner; nullopt unless this owner is
    /// ready and at the same roster version.
    std::optional<std::vector<claim_record>> copy(
        core::version_number version, core::time_point now);

    /// Installs the claims of the other owner and becomes ready. Ignored if the
    /// roster has changed since the copy was requested.
    void install(core::version_number version,
        const std::vector<claim_record>& records, core::time_point now);

    /// True if this owner has every claim that has not expired.
    bool is_ready(core::time_point now) const;

    /// Removes expired claims; returns how many.
    std::size_t expire(core::time_point now);

    std::size_t size() const { return this->records.size(); }

private:
    void add(const claim_record& record);

    bool owned = false;
    bool complete = false;
    core::version_number version;
    core::time_point owned_since;
    std::unordered_map<core::request_id, claim_record> records;
    /// Records in order of expiry. The record of an id that was removed and
    /// claimed again occurs twice, which expire() handles.
    std::deque<claim_record> by_age;
};

} // namespace pollenward::caller
