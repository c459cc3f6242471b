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
};

} // namespace pollenward::caller
