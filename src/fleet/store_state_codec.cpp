#include "fleet/field_codecs.hpp"

#include <utility>

namespace pollenward::fleet {

namespace {

    using nlohmann::json;

    /// Earlier versions of the daemon send a whole configuration with the state
    /// of the store. It is ignored, as its parts can be requested.
    constexpr std::size_t max_document_bytes = 1'500'000;

    /// Adds the era at the end of `fields`, unless it is 0: a daemon of an
    /// earlier version refuses a position with an era, and then reads the store
    /// itself.
    json with_era(json fields, core::store_revision revision)
    {
        if (revision.get_era() != core::store_era(0))
        {
            fields.push_back(revision.get_era().get());
        }
        return fields;
    }

    core::store_revision decode_era(array_reader& fields, std::uint64_t number)
    {
        const auto era = fields.remaining() == 0
            ? core::store_era(0)
            : fields.read_quantity<core::store_era>();
        return core::store_revision::make(era, number);
    }

    json encode_position(const store_position& position)
    {
        const auto age = static_cast<std::uint64_t>(position.get_age().count());
        return with_era(
            json::array({ position.get_revision().get_number(), age }),
            position.get_revision());
    }

    store_position decode_position(array_reader& fields)
    {
        return fields.read_nested([](array_reader& inner) {
            const auto number = inner.read_number();
            const auto age = inner.read_milliseconds();
            return store_position::make(decode_era(inner, number), age);
        });
    }

    json encode_entry(const std::optional<upstream::listed_worker>& entry)
    {
        if (!entry)
        {
            return json::array();
        }
        const upstream::worker& who = entry->get_worker();
        return json::array({ who.get_id().str(), who.get_address().str(),
            who.get_zone().str(), who.is_leaving(), entry->get_service().str(),
            static_cast<std::uint64_t>(entry->get_slots().get()),
            static_cast<std::uint64_t>(entry->get_warm_up_left().count()),
            entry->get_started_at_ms(), entry->get_sequence() });
    }

    std::optional<upstream::listed_worker> decode_entry(array_reader& fields)
    {
        if (fields.remaining() == 0)
        {
            return std::nullopt;
        }
        auto id = fields.read_id<core::worker_id>();
        auto address = fields.read_endpoint();
        auto zone = fields.read_id<core::zone_id>();
        const bool is_leaving = fields.read_bool();
        auto service = fields.read_id<core::service_id>();
        const core::slot_count slots(static_cast<std::int64_t>(
            fields.read_number(upstream::listed_worker::max_slots)));
        const auto warm_up = fields.read_milliseconds();
        const auto started = fields.read_number();
        const auto beat = fields.read_number();
        return upstream::listed_worker::make(
            upstream::worker::make(
                std::move(id), std::move(address), std::move(zone), is_leaving),
            std::move(service), slots, warm_up, started, beat);
    }

    json encode_changes(const std::optional<worker_changes>& changes)
    {
        if (!changes)
        {
            return json::array();
        }
        json rows = json::array();
        for (const worker_change& each : changes->get_changes())
        {
            rows.push_back(json::array(
                { each.get_name(), encode_entry(each.get_entry()) }));
        }
        const bool is_complete = !changes->get_start();
        const auto start
            = changes->get_start().value_or(core::store_revision());
        return with_era(
            json::array({ is_complete, start.get_number(), std::move(rows) }),
            start);
    }

    worker_change decode_change(array_reader& fields)
    {
        auto name = fields.read_string();
        auto entry = fields.read_nested(decode_entry);
        return worker_change::make(std::move(name), std::move(entry));
    }

    std::optional<worker_changes> decode_changes(array_reader& fields)
    {
        if (fields.remaining() == 0)
        {
            return std::nullopt;
        }
        const bool is_complete = fields.read_bool();
        const auto number = fields.read_number();
        auto changes = fields.read_list(decode_change);
        const auto start = decode_era(fields, number);
        return is_complete ? worker_changes::complete(std::move(changes))
                           : worker_changes::since(start, std::move(changes));
    }

} // namespace

json encode_fields(const store_state& content)
{
    return json::array({ content.get_configuration_number().get(),
        encode_position(content.get_configuration()),
        encode_position(content.get_workers()), std::string(),
        encode_changes(content.get_changes()) });
}

store_state decode_fields(array_reader& fields, type_of_message<store_state>)
{
    const auto number = fields.read_quantity<core::version_number>();
    const auto configuration = decode_position(fields);
    const auto workers = decode_position(fields);
    fields.read_string(max_document_bytes);
    auto changes = fields.read_nested(decode_changes);
    const auto read = store_state::make(number, configuration, workers);
    return changes ? read.with_changes(std::move(*changes)) : read;
}

} // namespace pollenward::fleet
