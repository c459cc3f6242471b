#include "main/settings.hpp"

#include "caller/connection_limit.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>

#include <sys/resource.h>
#include <toml++/toml.h>
#include <unistd.h>

namespace pollenward::main {

namespace {

    constexpr int default_threads = 2;
    constexpr int max_threads = 64;
    constexpr double max_capacity = 1e9;
    /// In MB.
    constexpr double max_memory = 1e6;
    constexpr core::milliseconds default_drain_delay{ 2000 };
    constexpr core::milliseconds default_drain_limit{ 30000 };
    /// Time reserved for answering the requests that still run and for leaving
    /// the fleet. A share of the grace, because a host that gives the process
    /// little processor time wakes it late.
    constexpr core::milliseconds min_exit_time{ 400 };
    constexpr int exit_time_share = 8;

    core::milliseconds exit_time_of(core::milliseconds grace)
    {
        return std::max(min_exit_time, grace / exit_time_share);
    }

    // Shares of the memory of the process. A body of 64 MB, the largest that
    // the platform allows, fits into the large share of a host of 160 MB. The
    // rest is for copies of bodies that are written and for the state of the
    // fleet.
    constexpr double large_body_share = 0.4;
    constexpr double small_body_share = 0.1;
    constexpr double response_share = 0.15;
    constexpr double connection_share = 0.2;

    /// In bytes; 0 if it is not known.
    double memory_of_host()
    {
        const auto pages = std::max(0L, ::sysconf(_SC_PHYS_PAGES));
        return static_cast<double>(pages)
            * static_cast<double>(::sysconf(_SC_PAGESIZE));
    }

    /// Descriptors that the process may have open.
    std::size_t max_descriptors()
    {
        rlimit limit{};
        const bool is_known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0
            && limit.rlim_cur != RLIM_INFINITY;
        return is_known ? static_cast<std::size_t>(limit.rlim_cur)
                        : std::numeric_limits<std::size_t>::max();
    }

    /// Parses "250ms", "2s" or "2.5s"; a number without a unit is refused.
    std::optional<core::milliseconds> parse_duration(std::string_view text)
    {
        double count = 0;
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, count);
        const std::string_view unit(
            parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
        constexpr double ms_per_second = 1000;
        // One year; keeps sums of time points and durations from overflowing.
        constexpr double max_seconds = 365.0 * 24 * 3600;
        const auto to_milliseconds = [](double value) {
            return core::milliseconds(std::llround(value));
        };
        if (parsed.ec != std::errc() || !(count >= 0) || count > max_seconds)
        {
            return std::nullopt;
        }
        if (unit == "ms")
        {
            return to_milliseconds(count);
        }
        if (unit == "s")
        {
            return to_milliseconds(count * ms_per_second);
        }
        return std::nullopt;
    }

    /// Reads one TOML document and collects its faults.
    class document_reader {
    public:
        document_reader(const toml::table& document, std::string file,
            std::vector<core::error>& reasons)
            : document(document)
            , file(std::move(file))
            , reasons(reasons)
        {
        }

        std::string read_string(const char* section, const char* key)
        {
            const toml::node* node = this->find(section, key, true);
            if (node == nullptr)
            {
                return {};
            }
            const auto text = node->value_exact<std::string>();
            if (!text || text->empty())
            {
                this->report(*node, section, key, "must be a non-empty string");
            }
            return text.value_or("");
        }

        core::endpoint read_endpoint(const char* section, const char* key)
        {
            const toml::node* node = this->find(section, key, true);
            if (node == nullptr)
            {
                return {};
            }
            return this->to_endpoint(*node, section, key);
        }

        core::endpoint read_endpoint(const char* section, const char* key,
            const core::endpoint& fallback)
        {
            const toml::node* node = this->find(section, key, false);
            return node == nullptr ? fallback
                                   : this->to_endpoint(*node, section, key);
        }

        std::vector<core::endpoint> read_endpoints(
            const char* section, const char* key)
        {
            std::vector<core::endpoint> endpoints;
            const toml::node* node = this->find(section, key, false);
            if (node == nullptr)
            {
                return endpoints;
            }
            if (!node->is_array())
            {
                this->report(*node, section, key, "must be an array");
                return endpoints;
            }
            for (const toml::node& each : *node->as_array())
            {
                endpoints.push_back(this->to_endpoint(each, section, key));
            }
            return endpoints;
        }

        core::milliseconds read_duration(
            const char* section, const char* key, core::milliseconds fallback)
        {
            const toml::node* node = this->find(section, key, false);
            if (node == nullptr)
            {
                return fallback;
            }
            const auto text = node->value_exact<std::string>();
            const auto value = parse_duration(text.value_or(""));
            if (!value)
            {
                this->report(*node, section, key,
                    "must be a duration with a unit such as \"250ms\" or "
                    "\"2s\"");
            }
            return value.value_or(fallback);
        }

        double read_number(const char* section, const char* key,
            double fallback, double smallest, double largest)
        {
            const toml::node* node = this->find(section, key, false);
            if (node == nullptr)
            {
                return fallback;
            }
            const auto value = node->value<double>();
            if (!node->is_number() || !value || !(*value >= smallest)
                || *value > largest)
            {
                this->report(*node, section, key,
                    "must be a number from " + std::to_string(smallest) + " to "
                        + std::to_string(largest));
                return fallback;
            }
            return *value;
        }

        /// Reads a section whose keys are names and whose values are strings.
        std::map<std::string, std::string> read_string_map(const char* section)
        {
            std::map<std::string, std::string> names;
            const toml::table* table = this->document[section].as_table();
            if (table == nullptr)
            {
                return names;
            }
            for (const auto& [key, node] : *table)
            {
                const std::string name(key.str());
                this->known_keys[section].insert(name);
                const auto text = node.value_exact<std::string>();
                if (!text || text->empty())
                {
                    this->report(
                        node, section, name, "must be a non-empty string");
                }
                names.emplace(name, text.value_or(""));
            }
            return names;
        }

        int read_count(const char* section, const char* key, int fallback,
            int smallest, int largest)
        {
            const toml::node* node = this->find(section, key, false);
            if (node == nullptr)
            {
                return fallback;
            }
            const auto value = node->value_exact<std::int64_t>();
            if (!value || *value < smallest || *value > largest)
            {
                this->report(*node, section, key,
                    "must be a whole number from " + std::to_string(smallest)
                        + " to " + std::to_string(largest));
                return fallback;
            }
            return static_cast<int>(*value);
        }

        void report_unknown_keys()
        {
            for (const auto& [section, node] : this->document)
            {
                const std::string name(section.str());
                const toml::table* table = node.as_table();
                if (this->known_keys.count(name) == 0 || table == nullptr)
                {
                    this->report(node, name, "", "is not a known section");
                    continue;
                }
                for (const auto& [key, value] : *table)
                {
                    if (this->known_keys[name].count(std::string(key.str()))
                        == 0)
                    {
                        this->report(value, name, std::string(key.str()),
                            "is not a known key");
                    }
                }
            }
        }

        /// Reports keys that have the same endpoint.
        void report_duplicate_endpoints(
            const std::map<std::string, core::endpoint>& listeners)
        {
            for (auto one = listeners.begin(); one != listeners.end(); ++one)
            {
                for (auto two = std::next(one); two != listeners.end(); ++two)
                {
                    if (one->second == two->second
                        && one->second.get_port() != 0)
                    {
                        const toml::node* node
                            = this->document.at_path(two->first).node();
                        this->add(node, two->first,
                            "is the same endpoint as " + one->first);
                    }
                }
            }
        }

    private:
        const toml::node* find(
            const char* section, const char* key, bool is_required)
        {
            this->known_keys[section].insert(key);
            const toml::node* node = this->document[section][key].node();
            if (node == nullptr && is_required)
            {
                this->add(this->document.get(section),
                    std::string(section) + "." + key, "is missing");
            }
            return node;
        }

        core::endpoint to_endpoint(
            const toml::node& node, const char* section, const char* key)
        {
            core::error reason;
            const auto text = node.value_exact<std::string>();
            const auto value
                = core::endpoint::create(text.value_or(""), reason);
            if (!value)
            {
                this->report(node, section, key,
                    "must be \"IP address:port\": " + reason.get_cause());
            }
            return value.value_or(core::endpoint());
        }

        void report(const toml::node& node, const std::string& section,
            const std::string& key, const std::string& cause)
        {
            this->add(
                &node, key.empty() ? section : section + "." + key, cause);
        }

        void add(const toml::node* node, const std::string& name,
            const std::string& cause)
        {
            std::string location = this->file;
            if (node != nullptr)
            {
                location += ":" + std::to_string(node->source().begin.line);
            }
            this->reasons.push_back(core::error::make(
                "read settings", std::move(location), name + " " + cause));
        }

        const toml::table& document;
        std::string file;
        std::vector<core::error>& reasons;
        std::map<std::string, std::set<std::string>> known_keys;
    };

    /// Parses TOML text; empty after a syntax error, which is reported.
    std::optional<toml::table> parse_document(std::string_view text,
        std::string_view file, std::vector<core::error>& reasons)
    {
        try
        {
            return toml::parse(text, file);
        }
        catch (const toml::parse_error& failure)
        {
            reasons.push_back(core::error::make("parse settings",
                std::string(file) + ":"
                    + std::to_string(failure.source().begin.line),
                std::string(failure.description())));
            return std::nullopt;
        }
    }

} // namespace

std::optional<std::size_t> settings::get_memory_share(double share) const
{
    constexpr double bytes_per_megabyte = 1 << 20;
    const double granted = this->memory == 0
        ? memory_of_host()
        : bytes_per_megabyte * static_cast<double>(this->memory);
    return granted == 0
        ? std::nullopt
        : std::optional(static_cast<std::size_t>(share * granted));
}

core::memory_budget settings::make_budget(double share) const
{
    const auto bytes = this->get_memory_share(share);
    return bytes ? core::memory_budget::make(*bytes)
                 : core::memory_budget::unlimited();
}

caller::body_memory settings::make_body_memory() const
{
    return caller::body_memory::make(
        this->make_budget(small_body_share), this->make_body_budget());
}

core::memory_budget settings::make_body_budget() const
{
    return this->make_budget(large_body_share);
}

core::memory_budget settings::make_response_budget() const
{
    return this->make_budget(response_share);
}

std::size_t settings::get_max_connections() const
{
    // A header of 16 KB in the buffer and parsed, and the state of a request.
    constexpr std::size_t connection_bytes = 48UL * 1024;
    // The others are for workers, daemons and the store.
    constexpr std::size_t descriptor_share = 2;
    const std::size_t by_memory
        = this->get_memory_share(connection_share)
              .value_or(std::numeric_limits<std::size_t>::max())
        / connection_bytes;
    const std::size_t open
        = std::min(by_memory, max_descriptors() / descriptor_share);
    return std::max<std::size_t>(1, open - open / (caller::refused_share + 1));
}

std::optional<settings> settings::create(std::string_view text,
    std::string_view file, std::vector<core::error>& reasons)
{
    const std::size_t faults_before = reasons.size();
    const auto document = parse_document(text, file, reasons);
    if (!document)
    {
        return std::nullopt;
    }
    document_reader reader(*document, std::string(file), reasons);
    settings made;
    made.id = core::daemon_id(reader.read_string("daemon", "id"));
    made.zone = core::zone_id(reader.read_string("daemon", "zone"));
    made.region = core::region_id(reader.read_string("daemon", "region"));
    made.threads = reader.read_count(
        "daemon", "threads", default_threads, 1, max_threads);
    made.capacity = static_cast<std::uint64_t>(
        reader.read_number("daemon", "capacity", 0, 0, max_capacity));
    made.memory = static_cast<std::uint64_t>(
        reader.read_number("daemon", "memory", 0, 0, max_memory));
    made.drain_delay
        = reader.read_duration("daemon", "drain_delay", default_drain_delay);
    made.drain_limit
        = reader.read_duration("daemon", "drain_limit", default_drain_limit);
    made.caller_endpoint = reader.read_endpoint("listen", "callers");
    made.operator_endpoint = reader.read_endpoint("listen", "operators");
    made.fleet_endpoint = reader.read_endpoint("listen", "fleet");
    made.platform_endpoint = reader.read_endpoint("platform", "endpoint");
    made.worker_lease = reader.read_duration("platform", "worker_lease",
        upstream::worker_registry::default_lease_time);
    made.advertised_endpoint
        = reader.read_endpoint("fleet", "advertised", made.fleet_endpoint);
    made.seeds = reader.read_endpoints("fleet", "seeds");
    for (const auto& [zone, region] : reader.read_string_map("zones"))
    {
        made.zones.emplace(core::zone_id(zone), core::region_id(region));
    }
    const upstream::retry_limits defaults;
    constexpr double max_slack = 1e6;
    made.retries.ratio
        = reader.read_number("retries", "ratio", defaults.ratio, 0, 1);
    made.retries.slack
        = reader.read_number("retries", "slack", defaults.slack, 0, max_slack);
    made.retries.window
        = reader.read_duration("retries", "window", defaults.window);
    made.placement.other_zone = reader.read_number(
        "placement", "other_zone", made.placement.other_zone, 0, 1);
    made.placement.other_region = reader.read_number(
        "placement", "other_region", made.placement.other_region, 0, 1);
    // The platform kills the process this long after the first signal.
    const core::milliseconds unlimited_grace
        = (made.drain_delay + made.drain_limit + min_exit_time) * 2;
    const core::milliseconds grace
        = reader.read_duration("daemon", "grace", unlimited_grace);
    const core::milliseconds exit_time = exit_time_of(grace);
    if (grace < made.drain_delay + exit_time)
    {
        reasons.push_back(core::error::make("check settings", std::string(file),
            "daemon.grace is shorter than drain_delay"));
    }
    made.drain_limit
        = std::min(made.drain_limit, grace - made.drain_delay - exit_time);
    reader.report_duplicate_endpoints(
        { { "listen.callers", made.caller_endpoint },
            { "listen.operators", made.operator_endpoint },
            { "listen.fleet", made.fleet_endpoint } });
    reader.report_unknown_keys();
    if (reasons.size() != faults_before)
    {
        return std::nullopt;
    }
    return made;
}

} // namespace pollenward::main
