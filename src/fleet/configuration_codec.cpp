#include "fleet/field_codecs.hpp"
#include "operators/configuration_json.hpp"

#include <utility>

namespace pollenward::fleet {

namespace {

    using nlohmann::json;
    using operators::change_position;
    using operators::configuration_part;
    using operators::configuration_request;
    using operators::kind_entry;
    using operators::kind_settings;
    using operators::service_weight;

    /// 300 services of 150 bytes, and the records of patches.
    constexpr std::size_t max_general_bytes = 100'000;
    constexpr std::size_t max_path_bytes = 8192;
    constexpr std::uint64_t max_attempts = 1000;

    json encode_request(const configuration_request& content)
    {
        return json::array(
            { content.get_base().get(), content.get_after().get_number().get(),
                content.get_after().get_kind().str() });
    }

    configuration_request decode_request(array_reader& fields)
    {
        const auto base = fields.read_quantity<core::version_number>();
        const auto number = fields.read_quantity<core::version_number>();
        auto kind = fields.read_id<core::kind_id>();
        return configuration_request::make(
            base, change_position::make(number, std::move(kind)));
    }

    json encode_settings(const kind_settings& settings)
    {
        json split = json::array();
        for (const service_weight& each : settings.get_split())
        {
            split.push_back(
                json::array({ each.get_service().str(), each.get_weight() }));
        }
        const auto count = [](core::milliseconds time) {
            return static_cast<std::uint64_t>(time.count());
        };
        return json::array({ settings.get_service().str(),
            settings.is_idempotent(), core::index_of(settings.get_rank()),
            count(settings.get_timeout()), settings.get_max_body().get(),
            count(settings.get_target_latency()),
            static_cast<std::uint64_t>(settings.get_max_attempts()),
            std::move(split) });
    }

    std::optional<kind_settings> decode_settings(
        array_reader& fields, const core::kind_id& id)
    {
        if (fields.remaining() == 0)
        {
            return std::nullopt;
        }
        auto service = fields.read_id<core::service_id>();
        const bool is_idempotent = fields.read_bool();
        const auto rank = fields.read_enum(core::all_ranks.back());
        const auto timeout = fields.read_milliseconds();
        const auto max_body = fields.read_quantity<core::byte_count>();
        const auto target = fields.read_milliseconds();
        const auto attempts = fields.read_number(max_attempts);
        auto split = fields.read_list([](array_reader& part) {
            auto to = part.read_id<core::service_id>();
            const double weight = part.read_real();
            return service_weight::make(std::move(to), weight);
        });
        core::error reason;
        const auto made = kind_settings::create(id, std::move(service),
            is_idempotent, rank, timeout, max_body, reason);
        if (!made)
        {
            fields.fail("has " + reason.get_cause());
            return std::nullopt;
        }
        return made->with_target_latency(target)
            .with_max_attempts(static_cast<int>(attempts))
            .with_split(std::move(split));
    }

    json encode_entry(const kind_entry& entry)
    {
        json routes = json::array();
        for (const operators::route& each : entry.get_routes())
        {
            routes.push_back(json::array({ each.get_host(), each.get_method(),
                each.get_path_prefix() }));
        }
        return json::array({ entry.get_id().str(),
            entry.get_settings() ? encode_settings(*entry.get_settings())
                                 : json::array(),
            std::move(routes) });
    }

    kind_entry decode_entry(array_reader& fields)
    {
        const auto id = fields.read_id<core::kind_id>();
        const auto settings = fields.read_nested(
            [&](array_reader& inner) { return decode_settings(inner, id); });
        auto routes = fields.read_list([&](array_reader& inner) {
            auto host = inner.read_string();
            auto method = inner.read_string();
            auto prefix = inner.read_string(max_path_bytes);
            core::error reason;
            const auto made = operators::route::create(
                std::move(method), std::move(prefix), id, reason);
            if (!made)
            {
                inner.fail(reason.get_cause());
            }
            return made.value_or(operators::route()).with_host(std::move(host));
        });
        return settings ? kind_entry::make(*settings, std::move(routes))
                        : kind_entry::removed(id);
    }

    std::optional<operators::configuration> decode_general(array_reader& fields)
    {
        const auto text = fields.read_string(max_general_bytes);
        if (text.empty())
        {
            return std::nullopt;
        }
        std::vector<core::error> reasons;
        auto decoded = operators::decode_configuration(text, reasons);
        if (!decoded)
        {
            fields.fail(reasons.front().get_cause());
        }
        return decoded;
    }

} // namespace

json encode_fields(const configuration_offer& content)
{
    return json::array(
        { content.get_sender().str(), content.get_number().get() });
}

configuration_offer decode_fields(
    array_reader& fields, type_of_message<configuration_offer>)
{
    auto sender = fields.read_id<core::daemon_id>();
    const auto number = fields.read_quantity<core::version_number>();
    return configuration_offer::make(std::move(sender), number);
}

json encode_fields(const configuration_request& content)
{
    return encode_request(content);
}

configuration_request decode_fields(
    array_reader& fields, type_of_message<configuration_request>)
{
    return decode_request(fields);
}

json encode_fields(const configuration_part& content)
{
    json entries = json::array();
    for (const kind_entry& each : content.get_entries())
    {
        entries.push_back(encode_entry(each));
    }
    const auto& general = content.get_general();
    return json::array({ encode_request(content.get_next()), std::move(entries),
        general ? operators::encode_configuration(*general) : std::string(),
        content.get_kind_count() });
}

configuration_part decode_fields(
    array_reader& fields, type_of_message<configuration_part>)
{
    auto next = fields.read_nested(decode_request);
    auto entries = fields.read_list(decode_entry);
    auto general = decode_general(fields);
    const auto kinds = fields.read_number(max_list_size);
    const auto part
        = configuration_part::make(std::move(next), std::move(entries));
    return general ? part.with_end(std::move(*general), kinds) : part;
}

} // namespace pollenward::fleet
