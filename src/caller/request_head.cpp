#include "caller/request_head.hpp"

#include "caller/request_fields.hpp"
#include "caller/traffic_split.hpp"

namespace pollenward::caller {

std::optional<request_head> request_head::create(std::string_view id_text,
    std::string_view timeout_text, std::string_view account_text,
    const operators::kind_settings& kind, core::milliseconds max_timeout,
    core::time_point now, core::error& reason)
{
    const auto id = id_text.empty() ? generate_request_id()
                                    : parse_request_id(id_text, reason);
    const auto account = parse_account(account_text, reason);
    const auto timeout = parse_timeout(timeout_text, kind, max_timeout, reason);
    if (!id || !account || !timeout)
    {
        return std::nullopt;
    }
    request_head made;
    made.id = *id;
    made.id_from_caller = !id_text.empty();
    made.account = *account;
    made.kind = kind.with_service(choose_service(kind, made.id.str()));
    made.deadline = now + *timeout;
    return made;
}

} // namespace pollenward::caller
