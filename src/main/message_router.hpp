#pragma once

#include "fleet/message.hpp"
#include "main/document_applier.hpp"
#include "main/evidence_aggregator.hpp"
#include "main/evidence_reporter.hpp"
#include "main/replicated_guard.hpp"

#include <boost/asio/awaitable.hpp>

namespace pollenward::main {

/// Passes the messages that are not about members or documents to the parts of
/// the daemon that handle them, and returns their replies; a
/// fleet::message_service.
class message_router {
public:
    message_router(evidence_aggregator& aggregator, evidence_reporter& evidence,
        worker_standings& standings, claim_service& claims,
        replicated_guard& guard)
        : aggregator(aggregator)
        , evidence(evidence)
        , standings(standings)
        , claims(claims)
        , guard(guard)
    {
    }

    boost::asio::awaitable<fleet::message> handle(fleet::message received);

private:
    fleet::message answer(const fleet::evidence_report& report);
    fleet::message answer(const fleet::claim_request& request);
    fleet::message answer(const fleet::claim_settle& request);
    fleet::message answer(const fleet::claim_copy& request);
    fleet::message answer(const fleet::crash_notice& notice);
    fleet::message answer(const fleet::verdict_notice& notice);
    template <class Other>
    fleet::message answer(const Other& unexpected);

    evidence_aggregator& aggregator;
    evidence_reporter& evidence;
    worker_standings& standings;
    claim_service& claims;
    replicated_guard& guard;
};

} // namespace pollenward::main
