#pragma once

#include "core/ids.hpp"

#include <compare>
#include <cstdint>
#include <utility>

namespace pollenward::fleet {

/// Notifies the fleet that a request broke the connection to a worker.
class crash_notice {
public:
    static crash_notice make(std::uint64_t fingerprint,
        core::request_id request, core::worker_id worker)
    {
        crash_notice made;
        made.fingerprint = fingerprint;
        made.request = std::move(request);
        made.worker = std::move(worker);
        return made;
    }

    /// Hash of the request's kind and body.
    std::uint64_t get_fingerprint() const { return this->fingerprint; }
    const core::request_id& get_request() const { return this->request; }
    const core::worker_id& get_worker() const { return this->worker; }

    auto operator<=>(const crash_notice&) const = default;

private:
    std::uint64_t fingerprint = 0;
    core::request_id request;
    core::worker_id worker;
};

} // namespace pollenward::fleet
