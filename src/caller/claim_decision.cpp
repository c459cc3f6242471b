#include "caller/claim_decision.hpp"

#include <string>

namespace pollenward::caller {

claim_grant decide_claim(
    const std::vector<claim_answer>& answers, core::time_point started_at)
{
    if (answers.empty())
    {
        return claim_grant::make(
            claim_status::refused, "the claim roster is empty", started_at);
    }
    const claim_answer* refusal = nullptr;
    for (const claim_answer& answer : answers)
    {
        if (answer.get_verdict() == claim_verdict::duplicate)
        {
            return claim_grant::make(
                claim_status::duplicate, "duplicate", started_at);
        }
        if (answer.get_verdict() != claim_verdict::granted)
        {
            refusal = &answer;
        }
    }
    if (refusal != nullptr)
    {
        return claim_grant::make(claim_status::refused,
            "claim owner: " + std::string(to_string(refusal->get_verdict())),
            started_at);
    }
    return claim_grant::make(claim_status::granted, "", started_at);
}

} // namespace pollenward::caller
