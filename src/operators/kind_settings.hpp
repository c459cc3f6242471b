#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/rank.hpp"
#include "core/runtime_clock.hpp"
#include "core/units.hpp"

#include <compare>
#include <optional>
#include <utility>

namespace pollenward::operators {

/// What operators declare about one kind of request.
class kind_settings {
public:
    /// Fails on an empty id or a timeout that is not positive.
    static std::optional<kind_settings> create(core::kind_id id,
        core::service_id service, bool is_idempotent, core::rank rank,
        core::milliseconds timeout, core::byte_count max_body,
        core::error& reason)
    {
        if (id.is_empty() || timeout <= core::milliseconds::zero())
        {
            reason = core::error::make(
                "check kind", id.str(), "needs an id and a positive timeout");
            return std::nullopt;
        }
        kind_settings made;
        made.id = std::move(id);
        made.service = std::move(service);
        made.idempotent = is_idempotent;
        made.rank = rank;
        made.timeout = timeout;
        made.max_body = max_body;
        return made;
    }

    const core::kind_id& get_id() const { return this->id; }
    const core::service_id& get_service() const { return this->service; }
    bool is_idempotent() const { return this->idempotent; }
    core::rank get_rank() const { return this->rank; }

    /// Time limit of a request whose caller gives none, in milliseconds.
    core::milliseconds get_timeout() const { return this->timeout; }

    /// Largest body accepted, in bytes.
    core::byte_count get_max_body() const { return this->max_body; }

    auto operator<=>(const kind_settings&) const = default;

private:
    core::kind_id id;
    core::service_id service;
    bool idempotent = false;
    core::rank rank = core::rank::background;
    core::milliseconds timeout{};
    core::byte_count max_body;
};

} // namespace pollenward::operators
