#include "fleet/field_codecs.hpp"

#include <utility>

namespace pollenward::fleet {

namespace {

    using nlohmann::json;

    /// Counts in single precision take five bytes instead of nine, and no
    /// decision needs more than their seven digits.
    double to_single_precision(double value)
    {
        return static_cast<double>(static_cast<float>(value));
    }

    json encode_entry(const evidence_entry& each)
    {
        const upstream::evidence_counts& counts = each.get_counts();
        return json::array({ each.get_worker().str(),
            to_single_precision(counts.get_fast_successes()),
            to_single_precision(counts.get_fast_failures()),
            to_single_precision(counts.get_slow_successes()),
            to_single_precision(counts.get_slow_failures()) });
    }

    json encode_demand(const rank_demand& demand)
    {
        json values = json::array();
        for (const double each : demand)
        {
            values.push_back(to_single_precision(each));
        }
        return values;
    }

    evidence_entry decode_entry(array_reader& fields)
    {
        auto worker = fields.read_id<core::worker_id>();
        const double fast_successes = fields.read_real();
        const double fast_failures = fields.read_real();
        const double slow_successes = fields.read_real();
        const double slow_failures = fields.read_real();
        return evidence_entry::make(std::move(worker),
            upstream::evidence_counts::make(
                fast_successes, fast_failures, slow_successes, slow_failures));
    }

    json encode_verdict(const upstream::verdict& each)
    {
        return json::array({ each.get_worker().str(),
            static_cast<std::uint64_t>(each.get_state()), each.get_weight(),
            static_cast<std::uint64_t>(each.get_remaining().count()),
            static_cast<std::uint64_t>(each.get_ejections()) });
    }

    json encode_verdicts(const std::vector<upstream::verdict>& verdicts)
    {
        json rows = json::array();
        for (const upstream::verdict& each : verdicts)
        {
            rows.push_back(encode_verdict(each));
        }
        return rows;
    }

    upstream::verdict decode_verdict(array_reader& fields)
    {
        constexpr std::uint64_t max_ejections = 1'000'000;
        auto worker = fields.read_id<core::worker_id>();
        const auto state = fields.read_enum(upstream::worker_state::trial);
        const double weight = fields.read_real();
        const auto remaining = fields.read_milliseconds();
        const auto ejections = fields.read_number(max_ejections);
        return upstream::verdict::make(std::move(worker), state, weight,
            remaining, static_cast<int>(ejections));
    }

    json encode_workers(const std::vector<core::worker_id>& workers)
    {
        json rows = json::array();
        for (const core::worker_id& each : workers)
        {
            rows.push_back(json::array({ each.str() }));
        }
        return rows;
    }

    std::vector<core::worker_id> decode_workers(array_reader& fields)
    {
        return fields.read_list(
            [](array_reader& each) { return each.read_id<core::worker_id>(); });
    }

    rank_demand decode_demand(array_reader& fields)
    {
        rank_demand demand{};
        for (double& each : demand)
        {
            each = fields.read_real();
        }
        return demand;
    }

} // namespace

json encode_fields(const evidence_report& content)
{
    json entries = json::array();
    for (const evidence_entry& each : content.get_entries())
    {
        entries.push_back(encode_entry(each));
    }
    return json::array({ static_cast<std::uint64_t>(content.get_level()),
        content.get_source(), content.get_zone().str(),
        content.get_service().str(), content.get_sequence(), std::move(entries),
        encode_demand(content.get_demand()),
        encode_workers(content.get_draining()) });
}

evidence_report decode_fields(
    array_reader& fields, type_of_message<evidence_report>)
{
    const auto level = fields.read_enum(report_level::zone);
    auto source = fields.read_string();
    auto zone = fields.read_id<core::zone_id>();
    auto service = fields.read_id<core::service_id>();
    const auto sequence = fields.read_number();
    auto entries = fields.read_list(decode_entry);
    const auto demand = fields.read_nested(decode_demand);
    auto draining = decode_workers(fields);
    return evidence_report::make(level, std::move(source), std::move(zone),
        std::move(service), sequence, std::move(entries), demand)
        .with_draining(std::move(draining));
}

json encode_fields(const verdict_reply& content)
{
    return json::array(
        { encode_verdicts(content.get_verdicts()), content.get_share(),
            static_cast<std::uint64_t>(content.get_share_validity().count()),
            content.is_overloaded(), encode_workers(content.get_draining()) });
}

verdict_reply decode_fields(
    array_reader& fields, type_of_message<verdict_reply>)
{
    auto verdicts = fields.read_list(decode_verdict);
    const double share = fields.read_real();
    const auto validity = fields.read_milliseconds();
    const bool is_overloaded = fields.read_bool();
    auto draining = decode_workers(fields);
    return verdict_reply::make(std::move(verdicts), share, validity,
        is_overloaded, std::move(draining));
}

json encode_fields(const verdict_notice& content)
{
    return json::array({ content.get_service().str(),
        encode_verdicts(content.get_verdicts()) });
}

verdict_notice decode_fields(
    array_reader& fields, type_of_message<verdict_notice>)
{
    auto service = fields.read_id<core::service_id>();
    auto verdicts = fields.read_list(decode_verdict);
    return verdict_notice::make(std::move(service), std::move(verdicts));
}

} // namespace pollenward::fleet
