#include "operators/patch_json.hpp"

#include "core/json_slice.hpp"
#include "operators/configuration_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace pollenward::operators {

namespace {

    using nlohmann::json;

    constexpr const char* item_arrays[] = { "services", "kinds", "routes" };

    core::error fault(const std::string& subject, const std::string& cause)
    {
        return core::error::make("apply patch", subject, cause);
    }

    std::string text_of(const json& item, const char* key)
    {
        return item.is_object() && item.contains(key) && item[key].is_string()
            ? item[key].get<std::string>()
            : std::string();
    }

    std::string join(std::string path, const std::string& key)
    {
        path += '/';
        path += key;
        return path;
    }

    std::string key_of(const std::string& array, const json& item)
    {
        return array == "routes" ? text_of(item, "method") + " "
                + text_of(item, "host") + text_of(item, "path_prefix")
                                 : text_of(item, "id");
    }

    json to_keyed(const std::string& array, const json& items)
    {
        json keyed = json::object();
        for (const json& item : items)
        {
            keyed[key_of(array, item)] = item;
        }
        return keyed;
    }

    /// Adds the fields of its key to an item, so that a patch need not repeat
    /// them.
    void add_key_fields(
        const std::string& array, const std::string& key, json& item)
    {
        if (!item.is_object())
        {
            return;
        }
        if (array != "routes")
        {
            item.emplace("id", key);
            return;
        }
        const auto space = key.find(' ');
        item.emplace("method", key.substr(0, space));
        const std::string host_and_path
            = space == std::string::npos ? "" : key.substr(space + 1);
        const auto slash
            = std::min(host_and_path.find('/'), host_and_path.size());
        item.emplace("path_prefix", host_and_path.substr(slash));
        if (slash != 0)
        {
            item.emplace("host", host_and_path.substr(0, slash));
        }
    }

    /// Applies a patch keyed by id to an array of items.
    json patch_items(const std::string& array, const json& items,
        const json& changes, std::vector<core::error>& reasons)
    {
        json keyed = to_keyed(array, items);
        for (const auto& [key, change] : changes.items())
        {
            const std::string path = join("/" + array, key);
            if (change.is_null() && !keyed.contains(key))
            {
                reasons.push_back(fault(path, "is removed but not declared"));
            }
            if (!change.is_null() && !change.is_object())
            {
                reasons.push_back(fault(path, "is neither an object nor null"));
            }
        }
        keyed.merge_patch(changes);
        json patched = json::array();
        for (auto& [key, item] : keyed.items())
        {
            add_key_fields(array, key, item);
            if (key_of(array, item) != key)
            {
                reasons.push_back(fault(
                    join("/" + array, key), "is not the key of its item"));
            }
            patched.push_back(std::move(item));
        }
        return patched;
    }

    /// Collects the differences under a path, recursing into objects.
    void collect_differences(const std::string& path, const json& before,
        const json& after, std::vector<configuration_difference>& found)
    {
        if (before == after)
        {
            return;
        }
        if (!before.is_object() || !after.is_object())
        {
            const auto text = [](const json& value) { // absent values are null
                return value.is_null() ? std::string() : value.dump();
            };
            found.push_back(configuration_difference::make(
                path, text(before), text(after)));
            return;
        }
        json keys = before;
        keys.update(after);
        for (const auto& [key, ignored] : keys.items())
        {
            collect_differences(join(path, key), before.value(key, json()),
                after.value(key, json()), found);
        }
    }

    json to_comparable(const configuration& value)
    {
        json document = json::parse(encode_configuration(value));
        document.erase("number");
        document.erase("patches");
        for (const char* array : item_arrays)
        {
            document[array] = to_keyed(array, document[array]);
        }
        return document;
    }

    /// Not an object if the text is not JSON or too deep: values are copied and
    /// written recursively.
    json parse_shallow(std::string_view text)
    {
        constexpr std::size_t max_depth = 16;
        return core::nesting_depth(text) > max_depth
            ? json()
            : json::parse(text, nullptr, false);
    }

} // namespace

std::optional<patch> decode_patch(core::patch_id id,
    core::version_number base_number, std::string_view text,
    core::error& reason)
{
    const json content = parse_shallow(text);
    if (!content.is_object())
    {
        reason = core::error::make(
            "read patch", id.str(), "content is not a JSON object");
        return std::nullopt;
    }
    return patch::create(std::move(id), base_number, content.dump(), reason);
}

std::optional<patch> decode_patch_message(
    std::string_view text, core::error& reason)
{
    const json message = parse_shallow(text);
    const bool is_complete = message.is_object() && message.size() == 3
        && message.contains("id") && message["id"].is_string()
        && message.contains("number") && message["number"].is_number_unsigned()
        && message.contains("patch");
    if (!is_complete)
    {
        reason = core::error::make("read patch", "message",
            "is not an object with the keys id, number and patch");
        return std::nullopt;
    }
    return decode_patch(core::patch_id(message["id"].get<std::string>()),
        core::version_number(message["number"].get<std::uint64_t>()),
        message["patch"].dump(), reason);
}

std::optional<configuration> apply_patch(const patch& change,
    const configuration& present, std::vector<core::error>& reasons)
{
    const std::size_t faults_before = reasons.size();
    json changes = json::parse(change.get_content(), nullptr, false);
    if (!changes.is_object())
    {
        reasons.push_back(fault("/", "is not a JSON object"));
        return std::nullopt;
    }
    json document = json::parse(encode_configuration(present));
    for (const char* reserved : { "number", "patches" })
    {
        if (changes.contains(reserved))
        {
            reasons.push_back(fault(std::string("/") + reserved,
                "is set by the system and cannot be patched"));
        }
    }
    for (const char* array : item_arrays)
    {
        if (changes.contains(array) && changes[array].is_object())
        {
            document[array]
                = patch_items(array, document[array], changes[array], reasons);
            changes.erase(array);
        }
    }
    document.merge_patch(changes);
    const core::version_number next
        = present.get_number() + core::version_number(1);
    document["number"] = next.get();
    document["patches"].push_back({ { "id", change.get_id().str() },
        { "digest", change.get_digest() }, { "number", next.get() } });
    if (reasons.size() != faults_before)
    {
        return std::nullopt;
    }
    return decode_configuration(document.dump(), reasons);
}

std::vector<configuration_difference> compare_configurations(
    const configuration& before, const configuration& after)
{
    std::vector<configuration_difference> found;
    collect_differences("", to_comparable(before), to_comparable(after), found);
    return found;
}

} // namespace pollenward::operators
