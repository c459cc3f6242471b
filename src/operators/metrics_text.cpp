#include "operators/metrics_text.hpp"

#include <cstdint>
#include <cstdio>

namespace pollenward::operators {

namespace {

    std::string to_text(double value)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.15g", value);
        return text;
    }

    void write_value(const std::string& name, const std::string& labels,
        const std::string& value, std::string& out)
    {
        out += name;
        out += '{';
        out += labels;
        out += "} ";
        out += value;
        out += '\n';
    }

    void write_series(
        const std::string& name, const latency_series& series, std::string& out)
    {
        const auto& labels = series.get_labels();
        const std::string bucket = name + "_bucket";
        std::uint64_t total = 0;
        for (std::size_t i = 0; i < series.get_counts().size(); ++i)
        {
            total += series.get_counts()[i];
            const bool is_last = i == series.get_bounds().size();
            const std::string bound
                = is_last ? "+Inf" : to_text(series.get_bounds()[i]);
            std::string bucket_labels = labels;
            bucket_labels += ",le=\"";
            bucket_labels += bound;
            bucket_labels += '"';
            write_value(bucket, bucket_labels, std::to_string(total), out);
        }
        write_value(name + "_sum", labels, to_text(series.get_sum()), out);
        write_value(name + "_count", labels, std::to_string(total), out);
    }

    void write_family(const std::string& name, const std::string& help,
        const std::vector<latency_series>& family, std::string& out)
    {
        out += "# HELP " + name + " " + help + "\n";
        out += "# TYPE " + name + " histogram\n";
        for (const latency_series& each : family)
        {
            write_series(name, each, out);
        }
    }

} // namespace

std::string escape_label(std::string_view value)
{
    std::string escaped;
    for (const char each : value)
    {
        if (each == '\\' || each == '"')
        {
            escaped += '\\';
        }
        escaped += each == '\n' ? std::string("\\n") : std::string(1, each);
    }
    return escaped;
}

std::string encode_metrics(const metrics_snapshot& snapshot)
{
    std::string out;
    write_family("pollenward_request_duration_ms",
        "Time from a request's header to the end of its answer.",
        snapshot.get_by_rank(), out);
    write_family("pollenward_account_duration_ms",
        "The same per client account; the empty name stands for all others.",
        snapshot.get_by_account(), out);
    std::string last_family;
    for (const metric_value& each : snapshot.get_values())
    {
        const std::string name = "pollenward_" + each.get_name();
        const std::string family = name.substr(0, name.find('{'));
        if (family != last_family)
        {
            out += "# TYPE " + family
                + (each.is_counter() ? " counter\n" : " gauge\n");
            last_family = family;
        }
        out += name + " " + to_text(each.get_value()) + "\n";
    }
    return out;
}

} // namespace pollenward::operators
