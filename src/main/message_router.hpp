#pragma once

#include "fleet/message.hpp"
#include "main/document_applier.hpp"
#include "main/evidence_loop.hpp"
#include "main/guard_link.hpp"
#include "main/home_desk.hpp"

#include <boost/asio/awaitable.hpp>

namespace pollenward::main {

/// Answers the messages of other daemons that are not about members or
/// documents; a fleet::message_service.
class message_router {
public:
    message_router(home_desk& homes, evidence_loop& evidence,
        worker_standings& standings, claim_service& claims, guard_link& guard)
        : homes(homes)
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
    fleet::message answer(const fleet::claim_settle& settled);
    fleet::message answer(const fleet::claim_copy& asked);
    fleet::message answer(const fleet::crash_notice& notice);
    fleet::message answer(const fleet::verdict_notice& notice);
    template <class Other>
    fleet::message answer(const Other& unexpected);

    home_desk& homes;
    evidence_loop& evidence;
    worker_standings& standings;
    claim_service& claims;
    guard_link& guard;
};

} // namespace pollenward::main
