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

    /// Version that a daemon has in force; 0 if it does not answer.
    std::uint64_t version_in_force(int daemon) const;

    /// How often each request id was run, over all workers that are up.
    std::map<std::string, int> runs() const;

private:
    std::string write_settings(int number) const;
    std::string write_objects() const;
    std::string log_file(const std::string& name) const;
    std::string zone_of(int number) const;

    cluster_plan plan;
    std::string folder;
    std::vector<std::uint16_t> ports;
    std::map<int, child_process> platforms;
    std::map<int, child_process> workers;
    std::map<int, child_process> daemons;
};

} // namespace pollenward::test
