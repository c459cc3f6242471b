#include "main/message_router.hpp"

#include <variant>
#include <vector>

namespace pollenward::main {

namespace {

    /// Keeps a page of claims far below the maximum message size.
    constexpr std::size_t claims_per_page = 2000;

} // namespace

boost::asio::awaitable<fleet::message> message_router::handle(
    fleet::message received)
{
    co_return std::visit(
        [this](const auto& content) { return this->answer(content); },
        received);
}

fleet::message message_router::answer(const fleet::evidence_report& report)
{
    auto reply = this->aggregator.on_report(report, core::runtime_clock::now());
    this->evidence.send_ejection_notice(report.get_service());
    return reply;
}

fleet::message message_router::answer(const fleet::claim_request& request)
{
    return fleet::claim_reply::make(this->claims.on_claim(
        request.get_parameters(), core::runtime_clock::now()));
}

fleet::message message_router::answer(const fleet::claim_settle& request)
{
    this->claims.on_settle(
        request.get_request(), request.get_holder(), request.get_state());
    return fleet::receipt::accepted();
}

fleet::message message_router::answer(const fleet::claim_copy& request)
{
    const auto now = core::runtime_clock::now();
    const auto records = this->claims.on_copy(
        request.get_partition(), request.get_roster(), now);
    if (!records)
    {
        return fleet::claim_page::make(false, request.get_roster(), {}, "");
    }
    std::vector<fleet::claim_entry> entries;
    std::string next;
    for (const caller::claim_record& record : *records)
    {
        if (record.get_id().str() <= request.get_cursor())
        {
            continue;
        }
        if (entries.size() == claims_per_page)
        {
            next = entries.back().get_request().str();
            break;
        }
        entries.push_back(fleet::claim_entry::from_record(record, now));
    }
    return fleet::claim_page::make(
        true, request.get_roster(), std::move(entries), std::move(next));
}

fleet::message message_router::answer(const fleet::crash_notice& notice)
{
    return this->guard.on_notice(notice);
}

fleet::message message_router::answer(const fleet::verdict_notice& notice)
{
    this->standings.store_verdicts(notice.get_service(), notice.get_verdicts(),
        core::runtime_clock::now());
    return fleet::receipt::accepted();
}

template <class Other>
fleet::message message_router::answer(const Other& /*unexpected*/)
{
    return fleet::receipt::failed("not a request");
}

} // namespace pollenward::main
