#include "platform/host_list_json.hpp"

#include <nlohmann/json.hpp>

namespace pollenward::platform {

namespace {

    using nlohmann::json;

    std::string text_of(const json& row, const char* key)
    {
        const bool has_text
            = row.is_object() && row.contains(key) && row[key].is_string();
        return has_text ? row[key].get<std::string>() : std::string();
    }

    std::optional<host_entry> decode_row(const json& row, core::error& reason)
    {
        const std::string id = text_of(row, "id");
        const std::string state = text_of(row, "state");
        if (id.empty() || (state != "live" && state != "leaving"))
        {
            reason = core::error::make("read host list", "platform",
                "a row has no id or an unknown state");
            return std::nullopt;
        }
        const auto address
            = core::endpoint::create(text_of(row, "endpoint"), reason);
        if (!address)
        {
            return std::nullopt;
        }
        return host_entry::make(id, *address,
            core::zone_id(text_of(row, "zone")), state == "leaving");
    }

} // namespace

std::optional<std::vector<host_entry>> decode_host_list(
    std::string_view text, core::error& reason)
{
    const json rows = json::parse(text, nullptr, false);
    if (!rows.is_array())
    {
        reason = core::error::make(
            "read host list", "platform", "is not a JSON array");
        return std::nullopt;
    }
    std::vector<host_entry> entries;
    for (const json& row : rows)
    {
        auto entry = decode_row(row, reason);
        if (!entry)
        {
            return std::nullopt;
        }
        entries.push_back(std::move(*entry));
    }
    return entries;
}

} // namespace pollenward::platform
