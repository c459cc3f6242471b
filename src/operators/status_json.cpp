#include "operators/status_json.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <utility>
#include <vector>

namespace pollenward::operators {

namespace {

    using nlohmann::json;

    std::optional<std::uint64_t> number_at(const json& body, const char* key)
    {
        const bool fits = body.is_object() && body.contains(key)
            && body[key].is_number_unsigned();
        return fits ? std::optional(body[key].get<std::uint64_t>())
                    : std::nullopt;
    }

    std::string text_at(const json& body, const char* key)
    {
        const bool fits
            = body.is_object() && body.contains(key) && body[key].is_string();
        return fits ? body[key].get<std::string>() : std::string();
    }

    json array_at(const json& body, const char* key)
    {
        const bool fits
            = body.is_object() && body.contains(key) && body[key].is_array();
        return fits ? body[key] : json::array();
    }

} // namespace

std::string encode_status(const fleet_status& value)
{
    json unconfirmed = json::array();
    for (const daemon_version& each : value.get_unconfirmed())
    {
        unconfirmed.push_back({ { "id", each.get_id().str() },
            { "number", each.get_number().get() } });
    }
    return json{
        { "reporter", value.get_reporter().str() },
        { "in_force", value.get_in_force().get() },
        { "daemons", value.get_daemon_count() },
        { "confirmed", value.get_confirmed_count() },
        { "unconfirmed", std::move(unconfirmed) },
    }
        .dump();
}

std::optional<fleet_status> decode_status(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    const auto in_force = number_at(body, "in_force");
    const auto confirmed = number_at(body, "confirmed");
    if (!in_force || !confirmed)
    {
        return std::nullopt;
    }
    std::vector<daemon_version> unconfirmed;
    for (const json& each : array_at(body, "unconfirmed"))
    {
        unconfirmed.push_back(
            daemon_version::make(core::daemon_id(text_at(each, "id")),
                core::version_number(number_at(each, "number").value_or(0))));
    }
    return fleet_status::make_from_counts(
        core::daemon_id(text_at(body, "reporter")),
        core::version_number(*in_force), *confirmed, std::move(unconfirmed));
}

std::string encode_reply(const patch_reply& value)
{
    json faults = json::array();
    for (const core::error& each : value.get_faults())
    {
        faults.push_back({ { "step", each.get_step() },
            { "peer", each.get_peer() }, { "cause", each.get_cause() } });
    }
    return json{
        { "result", std::string(to_string(value.get_outcome())) },
        { "number", value.get_number().get() },
        { "faults", std::move(faults) },
    }
        .dump();
}

std::optional<patch_reply> decode_reply(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    const auto outcome = parse_patch_outcome(text_at(body, "result"));
    const auto number = number_at(body, "number");
    if (!outcome || !number)
    {
        return std::nullopt;
    }
    std::vector<core::error> faults;
    for (const json& each : array_at(body, "faults"))
    {
        faults.push_back(core::error::make(text_at(each, "step"),
            text_at(each, "peer"), text_at(each, "cause")));
    }
    return patch_reply::make(
        *outcome, core::version_number(*number), std::move(faults));
}

} // namespace pollenward::operators
