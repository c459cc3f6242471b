#include "caller/claim_roster_json.hpp"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace pollenward::caller {

namespace {

    using nlohmann::json;

    json encode_member(const roster_member& member)
    {
        return json{ { "id", member.get_id().str() },
            { "zone", member.get_zone().str() },
            { "incarnation", member.get_incarnation().get() } };
    }

    std::optional<roster_member> decode_member(const json& row)
    {
        const bool fits = row.is_object() && row.contains("id")
            && row["id"].is_string() && row.contains("zone")
            && row["zone"].is_string() && row.contains("incarnation")
            && row["incarnation"].is_number_unsigned();
        if (!fits)
        {
            return std::nullopt;
        }
        return roster_member::make(
            core::daemon_id(row["id"].get<std::string>()),
            core::zone_id(row["zone"].get<std::string>()),
            core::incarnation_number(row["incarnation"].get<std::uint64_t>()));
    }

    std::optional<roster_change> decode_change(const json& row)
    {
        const auto member = decode_member(row);
        if (!member || !row.contains("added") || !row["added"].is_boolean())
        {
            return std::nullopt;
        }
        return roster_change::make(*member, row["added"].get<bool>());
    }

    /// Decodes each element of the array under `key`; nullopt if one fails.
    template <class Item, class Decode>
    std::optional<std::vector<Item>> decode_array(
        const json& document, const char* key, Decode decode)
    {
        if (!document.contains(key) || !document[key].is_array())
        {
            return std::nullopt;
        }
        std::vector<Item> items;
        for (const json& row : document[key])
        {
            auto item = decode(row);
            if (!item)
            {
                return std::nullopt;
            }
            items.push_back(std::move(*item));
        }
        return items;
    }

} // namespace

std::optional<claim_roster> decode_claim_roster(
    std::string_view text, core::error& reason)
{
    const auto failed = [&](const char* cause) {
        reason = core::error::make("read claim roster", "platform", cause);
        return std::nullopt;
    };
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("version")
        || !document["version"].is_number_unsigned())
    {
        return failed("version is missing or not an unsigned number");
    }
    auto members
        = decode_array<roster_member>(document, "members", decode_member);
    auto changes
        = decode_array<roster_change>(document, "changes", decode_change);
    if (!members || !changes)
    {
        return failed("members or changes are missing or malformed");
    }
    return claim_roster::make(
        core::version_number(document["version"].get<std::uint64_t>()),
        std::move(*members), std::move(*changes));
}

std::string encode_claim_roster(const claim_roster& roster)
{
    json document = { { "version", roster.get_version().get() },
        { "members", json::array() }, { "changes", json::array() } };
    for (const roster_member& member : roster.get_members())
    {
        document["members"].push_back(encode_member(member));
    }
    for (const roster_change& change : roster.get_changes())
    {
        json row = encode_member(change.get_member());
        row["added"] = change.is_added();
        document["changes"].push_back(std::move(row));
    }
    return document.dump();
}

} // namespace pollenward::caller
