#include "process/cluster.hpp"

#include "process/eventually.hpp"
#include "process/local_resources.hpp"

#include <filesystem>
#include <fstream>

namespace pollenward::test {

namespace {

    using nlohmann::json;

    constexpr int ports_per_daemon = 3;
    constexpr int ports_per_link = 2;

    std::string loopback(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    json configuration()
    {
        const auto kind
            = [](const char* id, bool is_idempotent, const char* rank) {
                  return json{ { "id", id }, { "service", "ballots" },
                      { "idempotent", is_idempotent }, { "rank", rank },
                      { "timeout_ms", 5000 }, { "max_body_bytes", 65536 } };
              };
        const auto route
            = [](const char* method, const char* path, const char* id) {
                  return json{ { "method", method }, { "path_prefix", path },
                      { "kind", id } };
              };
        return { { "number", 1 }, { "max_timeout_ms", 10000 },
            { "services",
                { { { "id", "ballots" }, { "floor", 0.5 },
                    { "slots_per_worker", 6 },
                    { "connections_per_worker", 400 } } } },
            { "kinds",
                { kind("cast", false, "urgent"),
                    kind("tally", true, "background") } },
            { "routes",
                { route("POST", "/casts", "cast"),
                    route("GET", "/tallies", "tally") } },
            { "patches", json::array() } };
    }

} // namespace

cluster::cluster(const cluster_plan& plan)
    : plan(plan)
    , folder(make_folder())
    , ports(find_free_ports(1 + plan.workers + plan.daemons * ports_per_daemon
          + (2 * plan.daemons + plan.workers) * ports_per_link))
{
}

cluster::~cluster()
{
    this->daemons.clear();
    this->workers.clear();
    this->platforms.clear();
    this->links.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::string cluster::zone_of(int number) const
{
    return number % 2 == 0 ? "r1a" : "r1b";
}

std::uint16_t cluster::worker_port(int worker) const
{
    return this->ports.at(1 + worker);
}

std::uint16_t cluster::caller_port(int daemon) const
{
    return this->ports.at(1 + this->plan.workers + daemon * ports_per_daemon);
}

std::uint16_t cluster::admin_port(int daemon) const
{
    return this->ports.at(2 + this->plan.workers + daemon * ports_per_daemon);
}

std::uint16_t cluster::fleet_port(int daemon) const
{
    return this->ports.at(3 + this->plan.workers + daemon * ports_per_daemon);
}

std::uint16_t cluster::link_port(int link) const
{
    return this->ports.at(1 + this->plan.workers
        + this->plan.daemons * ports_per_daemon + link * ports_per_link);
}

std::uint16_t cluster::link_admin_port(int link) const
{
    return this->ports.at(2 + this->plan.workers
        + this->plan.daemons * ports_per_daemon + link * ports_per_link);
}

std::uint16_t cluster::fleet_address(int daemon) const
{
    return this->plan.has_daemon_links
        ? this->link_port(this->daemon_link(daemon))
        : this->fleet_port(daemon);
}

std::uint16_t cluster::worker_address(int worker) const
{
    return this->plan.has_worker_links
        ? this->link_port(this->worker_link(worker))
        : this->worker_port(worker);
}

std::uint16_t cluster::platform_address(int daemon) const
{
    return this->plan.has_daemon_links
        ? this->link_port(this->platform_link(daemon))
        : this->platform_port();
}

std::string cluster::log_file(const std::string& name) const
{
    return this->folder + "/" + name + ".log";
}

std::string cluster::write_objects() const
{
    json objects = { { "configuration", configuration() },
        { "hosts/fleet", json::array() }, { "hosts/ballots", json::array() } };
    const auto host_entry
        = [&](const std::string& id, std::uint16_t port, int number) {
              return json{ { "id", id }, { "endpoint", loopback(port) },
                  { "zone", this->zone_of(number) }, { "state", "live" } };
          };
    for (int i = 0; i < this->plan.daemons; ++i)
    {
        objects["hosts/fleet"].push_back(host_entry(
            "daemon-" + std::to_string(i), this->fleet_address(i), i));
    }
    for (int i = 0; i < this->plan.workers; ++i)
    {
        objects["hosts/ballots"].push_back(host_entry(
            "worker-" + std::to_string(i), this->worker_address(i), i));
    }
    const std::string file = this->folder + "/objects.json";
    std::ofstream(file) << objects.dump();
    return file;
}

std::string cluster::write_settings(int number) const
{
    const std::string file
        = this->folder + "/daemon-" + std::to_string(number) + ".toml";
    std::ofstream out(file);
    out << "[daemon]\nid = \"daemon-" << number << "\"\nzone = \""
        << this->zone_of(number) << "\"\nregion = \"r1\"\nthreads = 2\n"
        << "drain_delay = \"200ms\"\ndrain_limit = \"20s\"\n[listen]\n"
        << "callers = \"" << loopback(this->caller_port(number))
        << "\"\noperators = \"" << loopback(this->admin_port(number))
        << "\"\nfleet = \"" << loopback(this->fleet_port(number))
        << "\"\n[platform]\nendpoint = \""
        << loopback(this->platform_address(number))
        << "\"\n[fleet]\nadvertised = \""
        << loopback(this->fleet_address(number)) << "\"\nseeds = [";
    for (int i = 0; i < this->plan.daemons; ++i)
    {
        out << (i == 0 ? "" : ", ") << '"' << loopback(this->fleet_address(i))
            << '"';
    }
    out << "]\n";
    return file;
}

void cluster::start_link(int link, std::uint16_t target)
{
    auto started = child_process::start("link_stand_in",
        { "--listen", loopback(this->link_port(link)), "--to", loopback(target),
            "--admin", loopback(this->link_admin_port(link)) },
        this->log_file("link-" + std::to_string(link)));
    this->links.emplace(link, std::move(started.value()));
}

void cluster::start_platform()
{
    auto started = child_process::start("platform_stand_in",
        { "--listen", loopback(this->platform_port()), "--load",
            this->write_objects() },
        this->log_file("platform"));
    this->platforms.emplace(0, std::move(started.value()));
}

void cluster::start_worker(int number)
{
    const std::string name = "worker-" + std::to_string(number);
    auto started = child_process::start("worker_stand_in",
        { "--listen", loopback(this->worker_port(number)), "--name", name,
            "--behaviour", this->plan.behaviour },
        this->log_file(name));
    this->workers.emplace(number, std::move(started.value()));
}

void cluster::start_daemon(int number)
{
    auto started = child_process::start("pollenwardd",
        { "--settings", this->write_settings(number) },
        this->log_file("daemon-" + std::to_string(number)));
    this->daemons.emplace(number, std::move(started.value()));
}

bool cluster::wait_until_ready(int daemon) const
{
    return eventually([&] {
        const auto reply = http_call(this->admin_port(daemon), "GET", "/ready");
        return reply && reply->status == 200;
    });
}

bool cluster::start()
{
    this->start_platform();
    for (int i = 0; this->plan.has_daemon_links && i < this->plan.daemons; ++i)
    {
        this->start_link(this->daemon_link(i), this->fleet_port(i));
        this->start_link(this->platform_link(i), this->platform_port());
    }
    for (int i = 0; this->plan.has_worker_links && i < this->plan.workers; ++i)
    {
        this->start_link(this->worker_link(i), this->worker_port(i));
    }
    for (int i = 0; i < this->plan.workers; ++i)
    {
        this->start_worker(i);
    }
    const bool is_platform_up = eventually([&] {
        return http_call(
            this->platform_port(), "GET", "/v1/objects/configuration")
            .has_value();
    });
    for (int i = 0; i < this->plan.daemons; ++i)
    {
        this->start_daemon(i);
    }
    bool is_ready = is_platform_up;
    for (int i = 0; i < this->plan.daemons; ++i)
    {
        is_ready = this->wait_until_ready(i) && is_ready;
    }
    // One answered request per daemon shows that it has listed the workers.
    for (int i = 0; i < this->plan.daemons; ++i)
    {
        is_ready = eventually([&] {
            const auto reply = this->send_lookup(i);
            return reply && reply->status == 200;
        }) && is_ready;
    }
    return is_ready;
}

std::optional<http_reply> cluster::send_cast(
    int daemon, const std::string& id, const std::string& body) const
{
    return http_call(this->caller_port(daemon), "POST", "/casts", body,
        { { "Request-Id", id } });
}

std::optional<http_reply> cluster::send_lookup(
    int daemon, const std::string& path) const
{
    return http_call(this->caller_port(daemon), "GET", path);
}

void cluster::set_platform_faults(const std::string& control) const
{
    http_call(this->platform_port(), "POST", "/control", control);
}

void cluster::set_worker_behaviour(int number, const std::string& control) const
{
    http_call(this->worker_port(number), "POST", "/control", control);
}

void cluster::cut_link(int link, const link_cut& cut) const
{
    const json control
        = { { "cut_forward", cut.forward }, { "cut_back", cut.back } };
    http_call(this->link_admin_port(link), "POST", "/control", control.dump());
}

void cluster::cut_daemon_link(int number, const link_cut& cut) const
{
    this->cut_link(this->daemon_link(number), cut);
}

void cluster::cut_worker_link(int number, const link_cut& cut) const
{
    this->cut_link(this->worker_link(number), cut);
}

void cluster::cut_platform_link(int daemon, const link_cut& cut) const
{
    this->cut_link(this->platform_link(daemon), cut);
}

bool cluster::has_full_roster() const
{
    const auto reply
        = http_call(this->platform_port(), "GET", "/v1/objects/claim_roster");
    const auto object = json::parse(reply ? reply->body : "", nullptr, false);
    const auto roster = object.is_object()
        ? json::parse(object.value("value", ""), nullptr, false)
        : json();
    bool is_full = roster.is_object() && roster.contains("members")
        && static_cast<int>(roster["members"].size()) == this->plan.daemons;
    for (int i = 0; is_full && i < this->plan.daemons; ++i)
    {
        is_full = this->metric(i, "claim_roster_version")
                == roster.value("version", 0.0)
            && this->metric(i, "claim_partitions_unready") == 0;
    }
    return is_full;
}

double cluster::metric(int daemon, const std::string& name) const
{
    const auto reply = http_call(this->admin_port(daemon), "GET", "/metrics");
    const std::string line = "\npollenward_" + name + " ";
    const auto at = reply ? reply->body.find(line) : std::string::npos;
    return at == std::string::npos
        ? -1
        : std::strtod(reply->body.c_str() + at + line.size(), nullptr);
}

std::uint64_t cluster::version_in_force(int daemon) const
{
    const auto reply
        = http_call(this->admin_port(daemon), "GET", "/configuration");
    if (!reply || reply->status != 200)
    {
        return 0;
    }
    const auto body = json::parse(reply->body, nullptr, false);
    return body.is_object() ? body.value("number", std::uint64_t(0)) : 0;
}

std::map<std::string, int> cluster::runs() const
{
    std::map<std::string, int> all;
    for (const auto& [number, process] : this->workers)
    {
        const auto reply = http_call(this->worker_port(number), "GET", "/runs");
        const auto body = json::parse(reply ? reply->body : "", nullptr, false);
        if (body.is_object() && body.contains("runs"))
        {
            for (const auto& [id, count] : body["runs"].items())
            {
                all[id] += count.get<int>();
            }
        }
    }
    return all;
}

} // namespace pollenward::test
