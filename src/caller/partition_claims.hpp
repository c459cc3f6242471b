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

/// The claims of one partition at one owner. All its steps run under one lock,
/// so that no claim is granted for an old roster after a copy was handed out
/// for a new one.
class partition_claims {
public:
    /// Starts to own the partition at a roster version. `is_complete` tells
    /// that no claim can have been granted before.
    void start_owning(
        core::version_number version, bool is_complete, core::time_point now);

    /// Goes on to own the partition at a later roster version.
    void keep_owning(core::version_number version);

    /// Drops all claims: another daemon owns the partition now.
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

    /// All claims, for the other owner; nothing unless this owner is ready and
    /// at the same roster version.
    std::optional<std::vector<claim_record>> copy(
        core::version_number version, core::time_point now);

    /// Takes over the claims of the other owner and becomes ready. Ignored if
    /// the roster has changed since the copy was asked for.
    void install(core::version_number version,
        const std::vector<claim_record>& records, core::time_point now);

    /// Ready owners know every claim that has not expired.
    bool is_ready(core::time_point now) const;

    /// Forgets expired claims; returns how many.
    std::size_t expire(core::time_point now);

    std::size_t size() const { return this->records.size(); }

private:
    void add(const claim_record& record);

    bool owned = false;
    bool complete = false;
    core::version_number version;
    core::time_point owned_since;
    std::unordered_map<core::request_id, claim_record> records;
    /// Records in order of expiry. A record that was dropped and claimed again
    /// stands here twice, which expire() allows for.
    std::deque<claim_record> by_age;
};

} // namespace pollenward::caller
