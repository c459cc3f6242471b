#include "caller/pipeline_answers.hpp"

#include <chrono>
#include <optional>
#include <utility>

namespace pollenward::caller {

namespace {

    // Long enough for a lost worker or claim owner to be replaced, and short
    // compared with the time that a person waits.
    constexpr core::milliseconds retry_after{ 1000 };

    caller_answer unavailable_answer(std::string reason,
        std::optional<core::duration> known_retry_after = std::nullopt)
    {
        return caller_answer::without_body(
            outcome::not_run(503, std::move(reason),
                known_retry_after
                    ? std::chrono::ceil<core::milliseconds>(*known_retry_after)
                    : retry_after));
    }

    const char* reason_of(admission_refusal refusal)
    {
        switch (refusal)
        {
        case admission_refusal::deadline:
            return "deadline cannot be met";
        case admission_refusal::queue_full:
            return "too many requests are waiting";
        case admission_refusal::workers_pause:
            break;
        }
        return "all workers pause";
    }

} // namespace

caller_answer make_answer(const admission_decision& refused)
{
    return unavailable_answer(
        reason_of(refused.get_refusal()), refused.get_retry_after());
}

caller_answer make_answer(const claim_grant& grant)
{
    if (grant.get_status() == claim_status::duplicate)
    {
        return caller_answer::without_body(outcome::unknown(409, "duplicate"));
    }
    if (grant.get_status() == claim_status::granted)
    {
        return unavailable_answer("claim is too old to be used");
    }
    return unavailable_answer("claim was refused: " + grant.get_reason());
}

caller_answer make_answer(const upstream::dispatch_result& result, bool is_late)
{
    if (const auto& response = result.get_response())
    {
        return caller_answer::make(outcome::answered(response->get_status()),
            response->get_headers(), response->get_shared_body());
    }
    if (result.get_certainty() == upstream::run_certainty::not_run)
    {
        return is_late ? late_answer()
                       : unavailable_answer("no worker accepted the request",
                           result.get_retry_after());
    }
    return caller_answer::without_body(is_late
            ? outcome::unknown(504, "deadline passed after the send")
            : outcome::unknown(502, "response was lost"));
}

caller_answer blocked_answer(const caller_request& request)
{
    constexpr unsigned status = 422;
    const std::string reason = "request crashes workers";
    return caller_answer::without_body(request.is_id_from_caller()
            ? outcome::unknown(status, reason)
            : outcome::not_run(status, reason));
}

caller_answer late_answer()
{
    return caller_answer::without_body(
        outcome::not_run(504, "deadline passed before the send"));
}

} // namespace pollenward::caller
