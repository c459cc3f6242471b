#include "caller/flow_answers.hpp"

#include <utility>

namespace pollenward::caller {

namespace {

    // Long enough for a lost worker or owner to be replaced, and short
    // compared with what a person waits for.
    constexpr core::milliseconds retry_after{ 1000 };

    caller_answer try_again(std::string reason)
    {
        return caller_answer::without_body(
            outcome::not_run(503, std::move(reason), retry_after));
    }

} // namespace

caller_answer answer_of(admission_refusal refusal)
{
    return try_again(refusal == admission_refusal::deadline
            ? "deadline cannot be met"
            : "too many requests are waiting");
}

caller_answer answer_of(const claim_grant& grant)
{
    if (grant.get_status() == claim_status::duplicate)
    {
        return caller_answer::without_body(outcome::unknown(409, "duplicate"));
    }
    if (grant.get_status() == claim_status::granted)
    {
        return try_again("claim is too old to be used");
    }
    return try_again("claim was refused: " + grant.get_reason());
}

caller_answer answer_of(const upstream::dispatch_result& result, bool is_late)
{
    if (const auto& response = result.get_response())
    {
        return caller_answer::make(outcome::answered(response->get_status()),
            response->get_headers(), response->get_body());
    }
    if (result.get_certainty() == upstream::run_certainty::not_run)
    {
        return is_late ? late_answer()
                       : try_again("no worker accepted the request");
    }
    return caller_answer::without_body(is_late
            ? outcome::unknown(504, "deadline passed after the send")
            : outcome::unknown(502, "response was lost"));
}

caller_answer blocked_answer(const caller_request& request)
{
    constexpr unsigned status = 422;
    const std::string reason = "request crashes workers";
    return caller_answer::without_body(request.is_own_id()
            ? outcome::unknown(status, reason)
            : outcome::not_run(status, reason));
}

caller_answer late_answer()
{
    return caller_answer::without_body(
        outcome::not_run(504, "deadline passed before the send"));
}

} // namespace pollenward::caller
