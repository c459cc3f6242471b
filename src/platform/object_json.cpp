#include "platform/object_json.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::platform {

namespace {

    using nlohmann::json;

    json parse(std::string_view text)
    {
        return json::parse(text, nullptr, false);
    }

    std::optional<std::uint64_t> number_at(const json& body, const char* key)
    {
        if (!body.is_object() || !body.contains(key)
            || !body[key].is_number_unsigned())
        {
            return std::nullopt;
        }
        return body[key].get<std::uint64_t>();
    }

    std::optional<std::string> text_at(const json& body, const char* key)
    {
        if (!body.is_object() || !body.contains(key) || !body[key].is_string())
        {
            return std::nullopt;
        }
        return body[key].get<std::string>();
    }

    std::optional<stored_object> object_of(const json& body)
    {
        auto name = text_at(body, "name");
        auto value = text_at(body, "value");
        const auto version = number_at(body, "version");
        if (!name || !value || !version)
        {
            return std::nullopt;
        }
        return stored_object::make(core::document_name(std::move(*name)),
            core::version_number(*version), std::move(*value));
    }

} // namespace

std::optional<stored_object> decode_object(std::string_view text)
{
    return object_of(parse(text));
}

std::optional<core::version_number> decode_version(std::string_view text)
{
    const auto version = number_at(parse(text), "version");
    return version ? std::optional(core::version_number(*version))
                   : std::nullopt;
}

std::optional<watch_result> decode_changes(std::string_view text)
{
    const json body = parse(text);
    const auto revision = number_at(body, "revision");
    if (!revision || !body.contains("objects") || !body["objects"].is_array())
    {
        return std::nullopt;
    }
    std::vector<stored_object> objects;
    for (const json& each : body["objects"])
    {
        auto object = object_of(each);
        if (!object)
        {
            return std::nullopt;
        }
        objects.push_back(std::move(*object));
    }
    const core::store_era era(number_at(body, "era").value_or(0));
    return watch_result::changed(
        store_revision::make(era, *revision), std::move(objects));
}

} // namespace pollenward::platform
