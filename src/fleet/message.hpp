#pragma once

#include "fleet/claim_copy.hpp"
#include "fleet/claim_reply.hpp"
#include "fleet/claim_request.hpp"
#include "fleet/claim_settle.hpp"
#include "fleet/configuration_offer.hpp"
#include "fleet/crash_notice.hpp"
#include "fleet/document.hpp"
#include "fleet/evidence_report.hpp"
#include "fleet/fetch_document.hpp"
#include "fleet/ping.hpp"
#include "fleet/receipt.hpp"
#include "fleet/store_state.hpp"
#include "fleet/verdict_notice.hpp"
#include "fleet/verdict_reply.hpp"
#include "fleet/zone_report.hpp"
#include "operators/configuration_part.hpp"

#include <array>
#include <string_view>
#include <variant>

namespace pollenward::fleet {

/// Any message between daemons. The index of an alternative is its type number
/// on the wire: new alternatives go to the end.
using message = std::variant<ping, ack, ping_request, fetch_document, document,
    evidence_report, verdict_reply, claim_request, claim_reply, claim_settle,
    claim_copy, claim_page, crash_notice, receipt, verdict_notice, zone_report,
    zone_view, store_state, configuration_offer,
    operators::configuration_request, operators::configuration_part>;

inline constexpr std::array<std::string_view, std::variant_size_v<message>>
    message_type_names = { "ping", "ack", "ping_request", "fetch_document",
        "document", "evidence_report", "verdict_reply", "claim_request",
        "claim_reply", "claim_settle", "claim_copy", "claim_page",
        "guard_notice", "receipt", "verdict_notice", "zone_report", "zone_view",
        "knowledge", "configuration_offer", "configuration_request",
        "configuration_part" };

} // namespace pollenward::fleet
