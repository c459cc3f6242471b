#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"
#include "core/units.hpp"
#include "upstream/worker.hpp"

#include <compare>
#include <cstdint>
#include <utility>

namespace pollenward::upstream {

/// A worker as it registered itself with the platform.
class listed_worker {
public:
    /// `started_at_ms` is the Unix time of its start; it tells apart two lives
    /// of a worker under one id. `beat` grows with each entry of one life.
    static listed_worker make(worker who, core::service_id service,
        core::slot_count slots, core::milliseconds warm_up_left,
        std::uint64_t started_at_ms, std::uint64_t beat)
    {
        listed_worker made;
        made.who = std::move(who);
        made.service = std::move(service);
        made.slots = slots;
        made.warm_up_left = warm_up_left;
        made.started_at_ms = started_at_ms;
        made.beat = beat;
        return made;
    }

    const worker& get_worker() const { return this->who; }
    const core::service_id& get_service() const { return this->service; }
    core::slot_count get_slots() const { return this->slots; }
    /// How much longer it stays slow after its start.
    core::milliseconds get_warm_up_left() const { return this->warm_up_left; }
    std::uint64_t get_started_at_ms() const { return this->started_at_ms; }

    std::uint64_t get_beat() const { return this->beat; }

    /// Whether this entry was written after `other` of the same worker. An
    /// entry may be delivered after a newer one.
    bool is_newer_than(const listed_worker& other) const
    {
        return std::pair(this->started_at_ms, this->beat)
            >= std::pair(other.started_at_ms, other.beat);
    }

    auto operator<=>(const listed_worker&) const = default;

private:
    worker who;
    core::service_id service;
    core::slot_count slots;
    core::milliseconds warm_up_left{};
    std::uint64_t started_at_ms = 0;
    std::uint64_t beat = 0;
};

} // namespace pollenward::upstream
