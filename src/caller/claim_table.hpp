#pragma once

#include "caller/claim_answer.hpp"
#include "caller/claim_partition.hpp"
#include "caller/claim_record.hpp"
#include "caller/claim_roster.hpp"
#include "caller/partition_claims.hpp"
#include "core/sharded_map.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace pollenward::caller {

/// The claims that one daemon owns. An owner never grants an id twice within
/// `claim_ttl`, despite roster changes, restarts and lost messages; it refuses
/// a claim if it cannot rule out an earlier one.
class claim_table {
public:
    claim_table(core::daemon_id self, core::incarnation_number incarnation);

    /// Installs a newer roster; an older or equal one is ignored.
    void install_roster(const claim_roster& roster, core::time_point now);

    claim_answer claim(const core::request_id& id, std::uint64_t fingerprint,
        const claimant& holder, core::version_number roster_version,
        bool has_quorum, core::time_point now);

    void settle(
        const core::request_id& id, const claimant& holder, claim_state state);

    /// Returns the claims of a partition for its other owner; nullopt unless
    /// this owner is ready and at that roster version.
    std::optional<std::vector<claim_record>> copy(claim_partition partition,
        core::version_number roster_version, core::time_point now);

    /// Installs the claims that the other owner returned from copy().
    void install_copy(claim_partition partition,
        core::version_number roster_version,
        const std::vector<claim_record>& records, core::time_point now);

    /// Partitions that are owned but not ready; each needs a copy.
    std::vector<claim_partition> unready_partitions(core::time_point now);

    /// Removes expired claims; returns how many.
    std::size_t expire(core::time_point now);

    /// Number of claims.
    std::size_t size();

private:
    template <class Visit>
    auto at(claim_partition partition, Visit visit)
    {
        return this->partitions.visit(
            partition, [] { return partition_claims(); }, visit);
    }

    template <class Visit>
    void for_each_partition(Visit visit)
    {
        for (std::uint32_t i = 0; i < claim_partition_count; ++i)
        {
            this->at(claim_partition(i), [&](partition_claims& claims) {
                visit(claim_partition(i), claims);
            });
        }
    }

    void apply_version(claim_partition partition, partition_claims& claims,
        const claim_roster& roster, core::time_point now) const;
    bool is_complete(const claim_roster& roster) const;
    bool owns(const claim_roster& roster, claim_partition partition) const;

    core::daemon_id self;
    core::incarnation_number incarnation;
    core::sharded_map<claim_partition, partition_claims> partitions;
};

} // namespace pollenward::caller
