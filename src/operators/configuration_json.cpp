#include "operators/configuration_json.hpp"

#include <nlohmann/json.hpp>

#include <set>
#include <utility>

namespace pollenward::operators {

namespace {

    using nlohmann::json;

    /// Reads the keys of one JSON object and reports faults with their paths.
    class object_reader {
    public:
        object_reader(const json& object, std::string path,
            std::vector<core::error>& reasons)
            : object(object)
            , path(std::move(path))
            , reasons(reasons)
        {
            if (!object.is_object())
            {
                this->report("", "is not an object");
            }
        }

        /// The value of a key, or `fallback` with a fault reported if it is
        /// absent or of another type.
        template <class Value>
        Value read(const char* key, Value fallback)
        {
            this->known_keys.insert(key);
            if (!this->object.is_object() || !this->object.contains(key))
            {
                this->report(key, "is missing");
                return fallback;
            }
            return this->convert(key, std::move(fallback));
        }

        /// Like read(), but an absent key is not a fault.
        template <class Value>
        Value read_or(const char* key, Value fallback)
        {
            this->known_keys.insert(key);
            if (!this->object.is_object() || !this->object.contains(key))
            {
                return fallback;
            }
            return this->convert(key, std::move(fallback));
        }

        /// The array of a key, or an empty one if the key is absent.
        const json& read_array(const char* key)
        {
            static const json empty = json::array();
            this->known_keys.insert(key);
            if (!this->object.is_object() || !this->object.contains(key))
            {
                return empty;
            }
            const json& found = this->object[key];
            if (!found.is_array())
            {
                this->report(key, "is not an array");
                return empty;
            }
            return found;
        }

        /// The value of a key, or null if it is absent.
        const json* find_object(const char* key)
        {
            this->known_keys.insert(key);
            return this->object.is_object() && this->object.contains(key)
                ? &this->object[key]
                : nullptr;
        }

        std::string path_of(const char* key) const
        {
            return this->path + "/" + key;
        }

        void report_unknown_keys()
        {
            if (!this->object.is_object())
            {
                return;
            }
            for (const auto& [key, value] : this->object.items())
            {
                if (this->known_keys.count(key) == 0)
                {
                    this->report(key, "is not a known key");
                }
            }
        }

        void report(const std::string& key, const std::string& cause)
        {
            this->reasons.push_back(core::error::make(
                "read configuration", this->path_of(key.c_str()), cause));
        }

    private:
        template <class Value>
        Value convert(const char* key, Value fallback)
        {
            const json& found = this->object[key];
            const bool fits = std::is_same_v<Value, std::string>
                ? found.is_string()
                : std::is_same_v<Value, bool> ? found.is_boolean()
                : std::is_unsigned_v<Value>   ? found.is_number_unsigned()
                : std::is_integral_v<Value>   ? found.is_number_integer()
                                              : found.is_number();
            if (!fits)
            {
                this->report(key, "has the wrong type");
                return fallback;
            }
            return found.get<Value>();
        }

        const json& object;
        std::string path;
        std::vector<core::error>& reasons;
        std::set<std::string> known_keys;
    };

    /// Appends the item to the list, or the reason to the faults.
    template <class Item>
    void append_or_report(std::optional<Item> item, const core::error& reason,
        std::vector<Item>& items, std::vector<core::error>& reasons)
    {
        if (item)
        {
            items.push_back(std::move(*item));
        }
        else
        {
            reasons.push_back(reason);
        }
    }

    std::optional<service_settings> read_service(
        object_reader& reader, core::error& reason)
    {
        rank_shares shares{};
        shares[core::index_of(core::rank::standard)]
            = reader.read_or("minimum_share_standard", 0.0);
        shares[core::index_of(core::rank::background)]
            = reader.read_or("minimum_share_background", 0.0);
        const core::service_id id(reader.read("id", std::string()));
        const double floor = reader.read("floor", 0.0);
        const core::slot_count slots(
            reader.read<std::int64_t>("slots_per_worker", 1));
        const int connections = reader.read("connections_per_worker", 1);
        reader.report_unknown_keys();
        return service_settings::create(
            id, floor, slots, connections, shares, reason);
    }

    template <class Item, class Read>
    std::vector<Item> read_items(object_reader& parent, const char* key,
        Read read, std::vector<core::error>& reasons)
    {
        std::vector<Item> items;
        const json& array = parent.read_array(key);
        for (std::size_t i = 0; i < array.size(); ++i)
        {
            object_reader reader(array[i],
                parent.path_of(key) + "/" + std::to_string(i), reasons);
            core::error reason;
            auto item = read(reader, reason);
            append_or_report(std::move(item), reason, items, reasons);
        }
        return items;
    }

    std::optional<service_weight> read_weight(
        object_reader& reader, core::error& reason)
    {
        core::service_id service(reader.read("service", std::string()));
        const double weight = reader.read("weight", 0.0);
        reader.report_unknown_keys();
        if (service.is_empty() || weight < 0)
        {
            reason = core::error::make("check part of a split", service.str(),
                "needs a service and a weight that is not negative");
            return std::nullopt;
        }
        return service_weight::make(std::move(service), weight);
    }

    std::optional<kind_settings> read_kind(object_reader& reader,
        std::vector<core::error>& reasons, core::error& reason)
    {
        const core::kind_id id(reader.read("id", std::string()));
        const core::service_id service(reader.read("service", std::string()));
        const bool is_idempotent = reader.read("idempotent", false);
        const auto rank_name = reader.read("rank", std::string("background"));
        const auto rank = core::parse_rank(rank_name);
        if (!rank)
        {
            reader.report("rank", "is not urgent, standard or background");
        }
        const core::milliseconds timeout(
            reader.read<std::int64_t>("timeout_ms", 1));
        const core::byte_count max_body(
            reader.read<std::uint64_t>("max_body_bytes", 0));
        const core::milliseconds target(
            reader.read_or<std::int64_t>("target_latency_ms", 0));
        const int attempts
            = reader.read_or("max_attempts", default_max_attempts);
        auto split
            = read_items<service_weight>(reader, "split", read_weight, reasons);
        reader.report_unknown_keys();
        if (attempts < 1 || target < core::milliseconds::zero())
        {
            reason = core::error::make("check kind", id.str(),
                "needs at least one attempt and a target latency that is not "
                "negative");
            return std::nullopt;
        }
        const auto made = kind_settings::create(id, service, is_idempotent,
            rank.value_or(core::rank::background), timeout, max_body, reason);
        if (!made)
        {
            return std::nullopt;
        }
        return made->with_target_latency(target)
            .with_max_attempts(attempts)
            .with_split(std::move(split));
    }

    std::optional<route> read_route(object_reader& reader, core::error& reason)
    {
        auto method = reader.read("method", std::string());
        auto prefix = reader.read("path_prefix", std::string());
        core::kind_id kind(reader.read("kind", std::string()));
        auto host = reader.read_or("host", std::string());
        reader.report_unknown_keys();
        const auto made = route::create(
            std::move(method), std::move(prefix), std::move(kind), reason);
        return made ? std::optional(made->with_host(std::move(host)))
                    : std::nullopt;
    }

    /// Absent limits have their default values.
    ingress_limits read_ingress(
        object_reader& parent, std::vector<core::error>& reasons)
    {
        const ingress_limits defaults;
        const json* found = parent.find_object("ingress");
        if (found == nullptr)
        {
            return defaults;
        }
        object_reader reader(*found, "/ingress", reasons);
        const core::byte_count header(reader.read_or<std::uint64_t>(
            "header_bytes", defaults.get_header_bytes().get()));
        const core::byte_count body(reader.read_or<std::uint64_t>(
            "body_bytes", defaults.get_body_bytes().get()));
        const core::milliseconds header_time(reader.read_or<std::int64_t>(
            "header_time_ms", defaults.get_header_time().count()));
        const core::milliseconds idle(reader.read_or<std::int64_t>(
            "idle_ms", defaults.get_idle().count()));
        if (header_time <= core::milliseconds::zero()
            || idle <= core::milliseconds::zero())
        {
            reader.report("", "header_time_ms and idle_ms must be above 0");
        }
        reader.report_unknown_keys();
        return ingress_limits::make(header, body, header_time, idle);
    }

    /// Reads the records of applied patches. A plain string is the id of a
    /// patch that was recorded by hand.
    std::vector<patch_record> read_patches(
        object_reader& parent, std::vector<core::error>& reasons)
    {
        std::vector<patch_record> records;
        const json& array = parent.read_array("patches");
        for (std::size_t i = 0; i < array.size(); ++i)
        {
            if (array[i].is_string())
            {
                records.push_back(patch_record::make(
                    core::patch_id(array[i].get<std::string>()), {}, {}));
                continue;
            }
            object_reader reader(
                array[i], "/patches/" + std::to_string(i), reasons);
            core::patch_id id(reader.read("id", std::string()));
            auto digest = reader.read("digest", std::string());
            const core::version_number number(
                reader.read<std::uint64_t>("number", 0));
            reader.report_unknown_keys();
            records.push_back(
                patch_record::make(std::move(id), std::move(digest), number));
        }
        return records;
    }

    json encode_patch_record(const patch_record& value)
    {
        return json{
            { "id", value.get_id().str() },
            { "digest", value.get_digest() },
            { "number", value.get_number().get() },
        };
    }

    json encode_service(const service_settings& value)
    {
        return json{
            { "id", value.get_id().str() },
            { "floor", value.get_floor() },
            { "slots_per_worker", value.get_slots_per_worker().get() },
            { "connections_per_worker", value.get_connections_per_worker() },
            { "minimum_share_standard",
                value.get_minimum_share(core::rank::standard) },
            { "minimum_share_background",
                value.get_minimum_share(core::rank::background) },
        };
    }

    json encode_split(const std::vector<service_weight>& split)
    {
        json parts = json::array();
        for (const service_weight& each : split)
        {
            parts.push_back({ { "service", each.get_service().str() },
                { "weight", each.get_weight() } });
        }
        return parts;
    }

    json encode_ingress(const ingress_limits& value)
    {
        return json{
            { "header_bytes", value.get_header_bytes().get() },
            { "body_bytes", value.get_body_bytes().get() },
            { "header_time_ms", value.get_header_time().count() },
            { "idle_ms", value.get_idle().count() },
        };
    }

    json encode_kind(const kind_settings& value)
    {
        return json{
            { "id", value.get_id().str() },
            { "service", value.get_service().str() },
            { "idempotent", value.is_idempotent() },
            { "rank", std::string(core::to_string(value.get_rank())) },
            { "timeout_ms", value.get_timeout().count() },
            { "max_body_bytes", value.get_max_body().get() },
            { "target_latency_ms", value.get_target_latency().count() },
            { "max_attempts", value.get_max_attempts() },
            { "split", encode_split(value.get_split()) },
        };
    }

    json encode_route(const route& value)
    {
        return json{
            { "host", value.get_host() },
            { "method", value.get_method() },
            { "path_prefix", value.get_path_prefix() },
            { "kind", value.get_kind().str() },
        };
    }

} // namespace

std::optional<configuration> decode_configuration(
    std::string_view text, std::vector<core::error>& reasons)
{
    const json document = json::parse(text, nullptr, false);
    if (document.is_discarded())
    {
        reasons.push_back(
            core::error::make("read configuration", "/", "is not valid JSON"));
        return std::nullopt;
    }
    const std::size_t faults_before = reasons.size();
    object_reader reader(document, "", reasons);
    const core::version_number number(reader.read<std::uint64_t>("number", 0));
    const core::milliseconds max_timeout(
        reader.read<std::int64_t>("max_timeout_ms", 1));
    auto services = read_items<service_settings>(
        reader, "services", read_service, reasons);
    const auto read_one_kind = [&](object_reader& each, core::error& reason) {
        return read_kind(each, reasons, reason);
    };
    auto kinds
        = read_items<kind_settings>(reader, "kinds", read_one_kind, reasons);
    auto routes = read_items<route>(reader, "routes", read_route, reasons);
    auto patches = read_patches(reader, reasons);
    const ingress_limits ingress = read_ingress(reader, reasons);
    reader.report_unknown_keys();
    auto made
        = configuration::create(number, std::move(services), std::move(kinds),
            std::move(routes), max_timeout, std::move(patches), reasons);
    return reasons.size() == faults_before
        ? std::optional(made->with_ingress_limits(ingress))
        : std::nullopt;
}

std::string encode_configuration(const configuration& value)
{
    json document = {
        { "number", value.get_number().get() },
        { "max_timeout_ms", value.get_max_timeout().count() },
        { "ingress", encode_ingress(value.get_ingress_limits()) },
        { "services", json::array() },
        { "kinds", json::array() },
        { "routes", json::array() },
        { "patches", json::array() },
    };
    for (const service_settings& each : value.get_services())
    {
        document["services"].push_back(encode_service(each));
    }
    for (const kind_settings& each : value.get_kinds())
    {
        document["kinds"].push_back(encode_kind(each));
    }
    for (const route& each : value.get_routes())
    {
        document["routes"].push_back(encode_route(each));
    }
    for (const patch_record& each : value.get_patches())
    {
        document["patches"].push_back(encode_patch_record(each));
    }
    return document.dump();
}

} // namespace pollenward::operators
