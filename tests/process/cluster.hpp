#pragma once

#include "process/child_process.hpp"
#include "process/http_call.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenward::test {

/// Sizes of a cluster on this machine.
struct cluster_plan {
    int daemons = 2;
    int workers = 2;
    /// How each worker behaves, as JSON for its --behaviour option.
    std::string behaviour = "{}";
    /// Whether the others reach each daemon, and each daemon the platform, or
    /// the daemons each worker, by way of a relay that can cut one direction.
    bool has_daemon_links = false;
    bool has_worker_links = false;
};

/// Directions of a relay that lose all bytes: `forward` is that of messages to
/// the daemon or worker, `back` that of its replies.
struct link_cut {
    bool forward = false;
    bool back = false;
};

/// The real programs on loopback: stand-ins for the platform and the workers,
/// and daemons in two zones. All are killed at the end.
class cluster {
public:
    explicit cluster(const cluster_plan& plan);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Starts everything and waits until all daemons are ready.
    bool start();

    void start_platform();
    void start_daemon(int number);
    void start_worker(int number);
    bool wait_until_ready(int daemon) const;

    child_process& daemon(int number) { return this->daemons.at(number); }
    child_process& worker(int number) { return this->workers.at(number); }
    child_process& platform() { return this->platforms.at(0); }
    void kill_daemon(int number) { this->daemons.erase(number); }
    void kill_worker(int number) { this->workers.erase(number); }
    void kill_platform() { this->platforms.erase(0); }

    std::uint16_t caller_port(int daemon) const;
    std::uint16_t admin_port(int daemon) const;
    std::uint16_t fleet_port(int daemon) const;
    std::uint16_t worker_port(int worker) const;
    std::uint16_t platform_port() const { return this->ports.at(0); }

    /// A cast, which is not idempotent, under a request id of the caller.
    std::optional<http_reply> cast(int daemon, const std::string& id,
        const std::string& body = "ballot") const;
    std::optional<http_reply> lookup(
        int daemon, const std::string& path = "/tallies/1") const;

    /// Switches faults of the platform stand-in.
    void control_platform(const std::string& json) const;
    void control_worker(int number, const std::string& json) const;

    /// Cuts the link to a daemon, or to a worker; the default ends the cut.
    void cut_daemon_link(int number, const link_cut& cut = {}) const;
    void cut_worker_link(int number, const link_cut& cut = {}) const;
    void cut_platform_link(int daemon, const link_cut& cut = {}) const;

    /// Whether all daemons own claims and are ready for them.
    bool has_full_roster() const;

    /// Value of a metric of a daemon; -1 if it does not answer.
    double metric(int daemon, const std::string& name) const;

    /// Version that a daemon has in force; 0 if it does not answer.
    std::uint64_t version_in_force(int daemon) const;

    /// How often each request id was run, over all workers that are up.
    std::map<std::string, int> runs() const;

private:
    /// A relay in front of a program, by its number among all relays.
    void start_link(int link, std::uint16_t target);
    void cut_link(int link, const link_cut& cut) const;
    std::uint16_t link_port(int link) const;
    std::uint16_t link_admin_port(int link) const;
    int daemon_link(int daemon) const { return daemon; }
    int worker_link(int worker) const { return this->plan.daemons + worker; }
    int platform_link(int daemon) const
    {
        return this->plan.daemons + this->plan.workers + daemon;
    }
    /// Where the others reach a daemon, a worker or the platform.
    std::uint16_t fleet_address(int daemon) const;
    std::uint16_t worker_address(int worker) const;
    std::uint16_t platform_address(int daemon) const;

    std::string write_settings(int number) const;
    std::string write_objects() const;
    std::string log_file(const std::string& name) const;
    std::string zone_of(int number) const;

    cluster_plan plan;
    std::string folder;
    std::vector<std::uint16_t> ports;
    std::map<int, child_process> links;
    std::map<int, child_process> platforms;
    std::map<int, child_process> workers;
    std::map<int, child_process> daemons;
};

} // namespace pollenward::test
