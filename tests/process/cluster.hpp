#pragma once

#include "process/child_process.hpp"
#include "process/http_call.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenward::test {

/// Size and topology of a test cluster.
struct cluster_plan {
    int daemons = 2;
    int workers = 2;
    /// Behaviour of each worker, as JSON for its --behaviour option.
    std::string behaviour = "{}";
    /// Whether connections to each daemon and from each daemon to the platform,
    /// or connections to each worker, pass a relay that can cut one direction.
    bool has_daemon_links = false;
    bool has_worker_links = false;
};

/// Directions in which a relay discards all bytes: `forward` carries messages
/// to the daemon, worker or platform, `back` its replies.
struct link_cut {
    bool forward = false;
    bool back = false;
};

/// Real daemons in two zones and stand-ins for the platform and the workers,
/// all on loopback. The destructor kills all processes.
class cluster {
public:
    explicit cluster(const cluster_plan& plan);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Starts all processes and waits until each daemon is ready and answers a
    /// request. Returns false if one does not within the time limit.
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

    /// Sends a cast, which is not idempotent, under the given request id.
    std::optional<http_reply> send_cast(int daemon, const std::string& id,
        const std::string& body = "ballot") const;
    std::optional<http_reply> send_lookup(
        int daemon, const std::string& path = "/tallies/1") const;

    /// Changes the faults of the platform stand-in by a POST /control.
    void set_platform_faults(const std::string& json) const;
    void set_worker_behaviour(int number, const std::string& json) const;

    /// Cuts the link to a daemon, to a worker, or from a daemon to the
    /// platform. The default argument ends the cut.
    void cut_daemon_link(int number, const link_cut& cut = {}) const;
    void cut_worker_link(int number, const link_cut& cut = {}) const;
    void cut_platform_link(int daemon, const link_cut& cut = {}) const;

    /// Whether the claim roster lists all daemons and each daemon uses that
    /// roster with all its claim partitions ready.
    bool has_full_roster() const;

    /// Value of a metric of a daemon; -1 if the daemon does not answer or lacks
    /// the metric.
    double metric(int daemon, const std::string& name) const;

    /// Number of the configuration in force on a daemon; 0 if the daemon does
    /// not answer.
    std::uint64_t version_in_force(int daemon) const;

    /// Number of runs by request id, summed over all workers that answer.
    std::map<std::string, int> runs() const;

private:
    /// Starts the relay with index `link`, which connects to port `target`.
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
    /// Ports by which other processes reach a daemon, a worker or the platform:
    /// the relay's if there is one.
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
