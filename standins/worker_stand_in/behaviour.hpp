#pragma once

#include "core/error.hpp"
#include "core/runtime_clock.hpp"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace pollenward::worker_stand_in {

/// How the stand-in runs requests and which faults it simulates. Fields are set
/// by name in a JSON object, at the start or by POST /control.
class behaviour {
public:
    /// Returns a copy with the fields of a JSON object replaced. Fails on an
    /// unknown name or a value of the wrong type.
    std::optional<behaviour> with_json(
        std::string_view text, core::error& reason) const;

    /// "slots", "queue": maximum numbers of running and of waiting requests;
    /// requests above both are shed.
    int get_slots() const { return this->slots; }
    int get_queue_limit() const { return this->queue; }
    /// "service_ms" multiplied by "slow_factor".
    core::milliseconds get_service_time() const;
    /// "cold_start_ms": time after the start during which requests take four
    /// times as long.
    core::milliseconds get_cold_start() const
    {
        return core::milliseconds(this->cold_start_ms);
    }
    /// "late_ms": delay of the answer after the slot is released.
    core::milliseconds get_answer_delay() const
    {
        return core::milliseconds(this->late_ms);
    }
    /// "fail_share": share of requests that are answered with 500, from 0 to 1.
    double get_fail_share() const { return this->fail_share; }
    /// "flap_ms": all requests fail in every second interval of this length; 0
    /// turns this off.
    core::milliseconds get_flap_interval() const
    {
        return core::milliseconds(this->flap_ms);
    }
    /// "hang": accepts requests and never answers them.
    bool is_hanging() const { return this->hang; }
    /// "crash_text": the process exits on a request whose body contains it.
    const std::string& get_crash_text() const { return this->crash_text; }
    /// "healthy": result of GET /health, independent of the result of requests.
    bool is_healthy() const { return this->healthy; }
    /// "report_lag_ms": maximum age of the report that GET /load repeats.
    core::milliseconds get_report_lag() const
    {
        return core::milliseconds(this->report_lag_ms);
    }
    /// "load_report": the body of GET /load, if not empty.
    const std::string& get_load_report() const { return this->load_report; }
    /// "draining": new requests are refused.
    bool is_draining() const { return this->draining; }

    behaviour with_draining(bool is_draining) const
    {
        behaviour next = *this;
        next.draining = is_draining;
        return next;
    }

    auto operator<=>(const behaviour&) const = default;

private:
    int slots = 6;
    int queue = 2;
    int service_ms = 5;
    double slow_factor = 1;
    int cold_start_ms = 0;
    int late_ms = 0;
    double fail_share = 0;
    int flap_ms = 0;
    bool hang = false;
    std::string crash_text;
    bool healthy = true;
    int report_lag_ms = 0;
    std::string load_report;
    bool draining = false;
};

} // namespace pollenward::worker_stand_in
