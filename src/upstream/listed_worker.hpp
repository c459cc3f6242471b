#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/units.hpp"
#include "upstream/worker.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace pollenward::upstream {

/// A worker as it registered itself with the platform.
class listed_worker {
public:
    /// Bounds of an entry, so that any entry can be sent to other daemons.
    static constexpr std::int64_t max_slots = 100'000;
    static constexpr std::size_t max_text_size = 256;

    /// `started_at_ms` is the Unix time of its start; it distinguishes two runs
    /// of a worker under one id. `sequence` grows with each entry of one run.
    static listed_worker make(worker who, core::service_id service,
        core::slot_count slots, core::milliseconds warm_up_left,
        std::uint64_t started_at_ms, std::uint64_t sequence)
    {
        listed_worker made;
        made.who = std::move(who);
        made.service = std::move(service);
        made.slots = slots;
        made.warm_up_left = warm_up_left;
        made.started_at_ms = started_at_ms;
        made.sequence = sequence;
        return made;
    }

    const worker& get_worker() const { return this->who; }
    const core::service_id& get_service() const { return this->service; }
    core::slot_count get_slots() const { return this->slots; }
    /// Remaining time of slow responses after its start.
    core::milliseconds get_warm_up_left() const { return this->warm_up_left; }
    std::uint64_t get_started_at_ms() const { return this->started_at_ms; }

    std::uint64_t get_sequence() const { return this->sequence; }

    /// True unless `other`, an entry of the same worker, was written later.
    /// Entries may be delivered out of order.
    bool is_newer_than(const listed_worker& other) const
    {
        return std::pair(this->started_at_ms, this->sequence)
            >= std::pair(other.started_at_ms, other.sequence);
    }

    auto operator<=>(const listed_worker&) const = default;

private:
    worker who;
    core::service_id service;
    core::slot_count slots;
    core::milliseconds warm_up_left{};
    std::uint64_t started_at_ms = 0;
    std::uint64_t sequence = 0;
};

} // namespace pollenward::upstream
