#include "fleet/field_codecs.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenward::fleet {

namespace {

    using nlohmann::json;

    constexpr std::uint64_t sample_state_count = 3;
    /// Far more than any worker accepts; limits the load that a broken peer can
    /// report.
    constexpr std::uint64_t max_in_flight = 100'000;

    std::uint64_t round_to_unsigned(double value)
    {
        return static_cast<std::uint64_t>(std::llround(std::max(value, 0.0)));
    }

    /// Age and state of a send sample in one number.
    json encode_samples(const std::vector<send_sample_summary>& samples)
    {
        json numbers = json::array();
        for (const send_sample_summary& each : samples)
        {
            numbers.push_back(static_cast<std::uint64_t>(each.get_age().count())
                    * sample_state_count
                + static_cast<std::uint64_t>(each.get_state()));
        }
        return numbers;
    }

    std::vector<send_sample_summary> decode_samples(array_reader& fields)
    {
        return fields.read_nested([](array_reader& inner) {
            constexpr std::uint64_t max_age_ms = 3'600'000;
            std::vector<send_sample_summary> samples;
            while (inner.get_cause().empty() && inner.remaining() != 0)
            {
                const auto number
                    = inner.read_number(max_age_ms * sample_state_count);
                samples.push_back(send_sample_summary::make(
                    core::milliseconds(number / sample_state_count),
                    static_cast<upstream::sample_state>(
                        number % sample_state_count)));
            }
            return samples;
        });
    }

    json encode_load(const std::optional<load_summary>& load)
    {
        return load
            ? json::array({ static_cast<std::uint64_t>(load->get_age().count()),
                round_to_unsigned(load->get_running()),
                round_to_unsigned(load->get_waiting()) })
            : json::array();
    }

    std::optional<load_summary> decode_load(array_reader& fields)
    {
        return fields.read_nested(
            [](array_reader& inner) -> std::optional<load_summary> {
                if (inner.remaining() == 0)
                {
                    return std::nullopt;
                }
                const auto age = inner.read_milliseconds();
                const auto running
                    = static_cast<double>(inner.read_number(max_in_flight));
                const auto waiting
                    = static_cast<double>(inner.read_number(max_in_flight));
                return load_summary::make(age, running, waiting);
            });
    }

    json encode_rate(const rate_summary& rate)
    {
        json fields = json::array(
            { static_cast<std::uint64_t>(rate.get_age().count()) });
        if (rate.get_per_second())
        {
            fields.push_back(*rate.get_per_second());
        }
        return fields;
    }

    rate_summary decode_rate(array_reader& fields)
    {
        const auto age = fields.read_milliseconds();
        return rate_summary::make(age,
            fields.remaining() == 0 ? std::nullopt
                                    : std::optional(fields.read_real()));
    }

    json encode_workers(const std::vector<worker_summary>& workers)
    {
        json rows = json::array();
        for (const worker_summary& each : workers)
        {
            json row = json::array(
                { each.get_worker().str(), encode_samples(each.get_samples()),
                    each.get_in_flight(), encode_load(each.get_load()) });
            // Earlier versions of the daemon accept only rows without it.
            if (const auto& rate = each.get_rate())
            {
                row.push_back(encode_rate(*rate));
            }
            rows.push_back(std::move(row));
        }
        return rows;
    }

    worker_summary decode_worker(array_reader& fields)
    {
        auto worker = fields.read_id<core::worker_id>();
        auto samples = decode_samples(fields);
        const auto in_flight = fields.read_number(max_in_flight);
        const auto load = decode_load(fields);
        const auto made = worker_summary::make(
            std::move(worker), std::move(samples), in_flight, load);
        return fields.remaining() == 0
            ? made
            : made.with_rate(fields.read_nested(decode_rate));
    }

    json encode_latencies(const std::vector<service_latencies>& latencies)
    {
        json rows = json::array();
        for (const service_latencies& each : latencies)
        {
            const upstream::latency_sums& sums = each.get_sums();
            rows.push_back(
                json::array({ each.get_service().str(), sums.get_count(),
                    sums.get_log_sum(), sums.get_log_square_sum() }));
        }
        return rows;
    }

    service_latencies decode_latencies(array_reader& fields)
    {
        auto service = fields.read_id<core::service_id>();
        const double count = fields.read_real();
        const double logs = fields.read_real();
        const double squares = fields.read_real();
        return service_latencies::make(std::move(service),
            upstream::latency_sums::make(count, logs, squares));
    }

} // namespace

json encode_fields(const zone_report& content)
{
    return json::array(
        { content.get_source().str(), encode_workers(content.get_workers()),
            encode_latencies(content.get_latencies()) });
}

json encode_fields(const zone_view& content)
{
    return json::array({ encode_workers(content.get_workers()),
        encode_latencies(content.get_latencies()) });
}

zone_report decode_fields(array_reader& fields, type_of_message<zone_report>)
{
    auto source = fields.read_id<core::daemon_id>();
    auto workers = fields.read_list(decode_worker);
    auto latencies = fields.read_list(decode_latencies);
    return zone_report::make(
        std::move(source), std::move(workers), std::move(latencies));
}

zone_view decode_fields(array_reader& fields, type_of_message<zone_view>)
{
    auto workers = fields.read_list(decode_worker);
    auto latencies = fields.read_list(decode_latencies);
    return zone_view::make(std::move(workers), std::move(latencies));
}

} // namespace pollenward::fleet
