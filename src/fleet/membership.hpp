#pragma once

#include "core/runtime_clock.hpp"
#include "fleet/announcement_queue.hpp"
#include "fleet/probe.hpp"
#include "platform/host_entry.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace pollenward::fleet {

inline constexpr core::milliseconds ping_interval{ 500 };
inline constexpr core::seconds suspicion_time{ 3 };
inline constexpr std::size_t indirect_probes = 3;
inline constexpr std::size_t max_updates = 10;
/// Time for which the record of a dead member is kept, so that late messages
/// do not bring it back.
inline constexpr core::seconds dead_retention{ 600 };
/// Interval between requests for a full list, which repairs the loss of all
/// piggybacked updates of a change.
inline constexpr core::seconds full_list_interval{ 60 };
/// A daemon that did not tick for this long was paused and has missed the
/// refutations sent during that time.
inline constexpr core::seconds pause_threshold{ 2 };

/// Failure detector and member list of one daemon (SWIM: Das, Gupta and
/// Motivala, 2002). A state machine without I/O: callers send the returned
/// probes and report each as acknowledged or failed. Not thread safe.
class membership {
public:
    /// `seed` determines the order of pings.
    membership(
        member self, std::vector<core::endpoint> seeds, std::uint64_t seed);

    /// Runs one protocol period and returns the probes to send. Call it every
    /// `ping_interval`.
    probes tick(core::time_point now);

    /// Handles the reply to a probe.
    void on_ack(const probe& sent, const ack& reply, core::time_point now);

    /// Handles a probe without a reply in time. Returns the indirect probes to
    /// send.
    probes on_failure(const probe& sent, core::time_point now);

    /// Handles a ping. Returns the reply, without document digests.
    ack on_ping(const ping& received, core::time_point now);

    /// Merges a record from another source, such as the sender of a ping
    /// request.
    void on_record(const member& record, core::time_point now);

    /// Stores the platform's list of daemons. It adds addresses to contact and
    /// marks members as leaving, but never removes a member that replies.
    void on_hosts(const std::vector<platform::host_entry>& hosts);

    void set_version_in_force(core::version_number version);

    /// Marks this daemon as leaving and returns the pings that announce it.
    probes leave();

    /// A ping to a member, or to an address if `target` is empty.
    probe ping_of(const core::daemon_id& target, const core::endpoint& address,
        core::time_point now);

    const member& get_self() const { return this->self; }

    /// All members including this daemon, sorted by id. Members that the
    /// platform lists as leaving have that state.
    std::vector<member> list() const;

    /// At most `count` random live members other than this daemon and those in
    /// `excluded`.
    std::vector<member> pick(
        std::size_t count, const std::set<core::daemon_id>& excluded);

private:
    struct entry {
        member record;
        core::time_point changed_at;
    };

    void merge(const member& record, core::time_point now);
    void refute(const member& record);
    void set_state(entry& current, member_state state, core::time_point now);
    void suspect(const core::daemon_id& target, core::time_point now);
    void expire(core::time_point now);
    std::optional<probe> next_in_round(core::time_point now);
    probes contact_probes(core::time_point now);
    std::vector<core::endpoint> unresponsive_addresses() const;
    bool has_live_member() const;
    member_updates take_updates(const core::daemon_id& receiver);
    member_updates all_records() const;
    void announce(const core::daemon_id& id);
    void raise_sequence();

    member self;
    std::vector<core::endpoint> seeds;
    std::vector<platform::host_entry> hosts;
    std::mt19937_64 random;
    std::map<core::daemon_id, entry> table;
    std::vector<core::daemon_id> round;
    announcement_queue announcements;
    /// Number of indirect probes without a result, by target.
    std::map<core::daemon_id, std::size_t> outstanding;
    std::optional<core::time_point> last_tick;
    std::optional<core::time_point> last_full_list;
    std::uint64_t ticks = 0;
    std::size_t contact_cursor = 0;
};

} // namespace pollenward::fleet
