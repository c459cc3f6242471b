#pragma once

#include "caller/admission_queue.hpp"
#include "caller/admission_ticket.hpp"

#include <compare>
#include <optional>
#include <utility>

namespace pollenward::caller {

/// The result of a wait for admission: a ticket, which must later be passed to
/// finish(), or the reason for the refusal.
class admission_decision {
public:
    static admission_decision admitted(admission_ticket ticket)
    {
        admission_decision made;
        made.ticket = std::move(ticket);
        return made;
    }

    static admission_decision refused(admission_refusal refusal)
    {
        admission_decision made;
        made.refusal = refusal;
        return made;
    }

    /// Refused until the workers accept requests again.
    static admission_decision paused(core::duration retry_after)
    {
        admission_decision made = refused(admission_refusal::workers_pause);
        made.retry_after = retry_after;
        return made;
    }

    /// When the caller may try again, if that is known.
    const std::optional<core::duration>& get_retry_after() const
    {
        return this->retry_after;
    }

    const std::optional<admission_ticket>& get_ticket() const
    {
        return this->ticket;
    }

    /// Valid only if there is no ticket.
    admission_refusal get_refusal() const { return this->refusal; }

    auto operator<=>(const admission_decision&) const = default;

private:
    std::optional<admission_ticket> ticket;
    admission_refusal refusal = admission_refusal::queue_full;
    std::optional<core::duration> retry_after;
};

} // namespace pollenward::caller
