#pragma once

#include "core/ids.hpp"
#include "core/runtime_clock.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// One run of a request that ended when its worker crashed. Times are ages,
/// since the clocks of two daemons differ.
class crash_report {
public:
    static crash_report make(core::request_id request, core::worker_id worker,
        core::milliseconds start_age, core::milliseconds end_age,
        bool is_refuted)
    {
        crash_report made;
        made.request = std::move(request);
        made.worker = std::move(worker);
        made.start_age = start_age;
        made.end_age = end_age;
        made.refuted = is_refuted;
        return made;
    }

    const core::request_id& get_request() const { return this->request; }
    const core::worker_id& get_worker() const { return this->worker; }
    core::milliseconds get_start_age() const { return this->start_age; }
    core::milliseconds get_end_age() const { return this->end_age; }
    /// Whether a worker ran an equal request to its end afterwards.
    bool is_refuted() const { return this->refuted; }

    auto operator<=>(const crash_report&) const = default;

private:
    core::request_id request;
    core::worker_id worker;
    core::milliseconds start_age{};
    core::milliseconds end_age{};
    bool refuted = false;
};

/// When one copy of a request was refused, or sent as a trial.
class mark_report {
public:
    static mark_report make(core::request_id request, core::milliseconds age)
    {
        mark_report made;
        made.request = std::move(request);
        made.age = age;
        return made;
    }

    const core::request_id& get_request() const { return this->request; }
    core::milliseconds get_age() const { return this->age; }

    auto operator<=>(const mark_report&) const = default;

private:
    core::request_id request;
    core::milliseconds age{};
};

/// What a daemon has recorded about equal requests that crashed workers.
class crash_history {
public:
    static crash_history make(std::uint64_t fingerprint,
        std::vector<crash_report> crashes,
        std::optional<mark_report> last_trial,
        std::optional<mark_report> last_refusal)
    {
        crash_history made;
        made.fingerprint = fingerprint;
        made.crashes = std::move(crashes);
        made.last_trial = std::move(last_trial);
        made.last_refusal = std::move(last_refusal);
        return made;
    }

    /// Hash of the request's kind, method, target and body.
    std::uint64_t get_fingerprint() const { return this->fingerprint; }
    const std::vector<crash_report>& get_crashes() const
    {
        return this->crashes;
    }
    const std::optional<mark_report>& get_last_trial() const
    {
        return this->last_trial;
    }
    const std::optional<mark_report>& get_last_refusal() const
    {
        return this->last_refusal;
    }

    auto operator<=>(const crash_history&) const = default;

private:
    std::uint64_t fingerprint = 0;
    std::vector<crash_report> crashes;
    std::optional<mark_report> last_trial;
    std::optional<mark_report> last_refusal;
};

/// Notifies a daemon of requests that crashed workers. The reply, another
/// notice, has what the sender lacks.
class crash_notice {
public:
    static constexpr std::size_t max_histories = 64;

    static crash_notice make(std::vector<crash_history> histories)
    {
        crash_notice made;
        made.histories = std::move(histories);
        return made;
    }

    const std::vector<crash_history>& get_histories() const
    {
        return this->histories;
    }

    auto operator<=>(const crash_notice&) const = default;

private:
    std::vector<crash_history> histories;
};

} // namespace pollenward::fleet
