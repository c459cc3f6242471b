#pragma once

#include "caller/claim_partition.hpp"
#include "caller/claim_record.hpp"
#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/units.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// A new owner's request to the other owner of a partition for its claims.
class claim_copy {
public:
    /// `cursor` is empty for the first page, then that of the last page.
    static claim_copy make(caller::claim_partition partition,
        core::version_number roster, std::string cursor)
    {
        claim_copy made;
        made.partition = partition;
        made.roster = roster;
        made.cursor = std::move(cursor);
        return made;
    }

    caller::claim_partition get_partition() const { return this->partition; }
    core::version_number get_roster() const { return this->roster; }
    const std::string& get_cursor() const { return this->cursor; }

    auto operator<=>(const claim_copy&) const = default;

private:
    caller::claim_partition partition;
    core::version_number roster;
    std::string cursor;
};

/// A claim that is copied to a new owner. It has an age instead of a time,
/// since daemons do not share a clock.
class claim_entry {
public:
    static claim_entry make(core::request_id request, std::uint64_t fingerprint,
        caller::claimant holder, caller::claim_state state,
        core::milliseconds age)
    {
        claim_entry made;
        made.request = std::move(request);
        made.fingerprint = fingerprint;
        made.holder = std::move(holder);
        made.state = state;
        made.age = age;
        return made;
    }

    static claim_entry from_record(
        const caller::claim_record& record, core::time_point now)
    {
        return make(record.get_id(), record.get_fingerprint(),
            record.get_holder(), record.get_state(),
            std::chrono::floor<core::milliseconds>(
                now - record.get_granted_at()));
    }

    caller::claim_record to_record(core::time_point now) const
    {
        return caller::claim_record::make(this->request, this->fingerprint,
            this->holder, this->state, now - this->age);
    }

    const core::request_id& get_request() const { return this->request; }
    std::uint64_t get_fingerprint() const { return this->fingerprint; }
    const caller::claimant& get_holder() const { return this->holder; }
    caller::claim_state get_state() const { return this->state; }
    core::milliseconds get_age() const { return this->age; }

    auto operator<=>(const claim_entry&) const = default;

private:
    core::request_id request;
    std::uint64_t fingerprint = 0;
    caller::claimant holder;
    caller::claim_state state = caller::claim_state::running;
    core::milliseconds age{};
};

/// The reply to claim_copy: a page of claims.
class claim_page {
public:
    /// `answer_roster` is the roster version of the replying owner. `is_ready`
    /// is false if that owner may lack claims of the partition; the page is
    /// then empty. An empty `next_cursor` marks the last page.
    static claim_page make(bool is_ready, core::version_number answer_roster,
        std::vector<claim_entry> entries, std::string next_cursor)
    {
        claim_page made;
        made.ready = is_ready;
        made.roster = answer_roster;
        made.entries = std::move(entries);
        made.next_cursor = std::move(next_cursor);
        return made;
    }

    bool is_ready() const { return this->ready; }
    core::version_number get_roster() const { return this->roster; }
    const std::vector<claim_entry>& get_entries() const
    {
        return this->entries;
    }
    const std::string& get_next_cursor() const { return this->next_cursor; }

    auto operator<=>(const claim_page&) const = default;

private:
    bool ready = false;
    core::version_number roster;
    std::vector<claim_entry> entries;
    std::string next_cursor;
};

} // namespace pollenward::fleet
