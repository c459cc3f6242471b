#pragma once

// Stand-ins for the scripts of the second review: the platform's store, a
// worker, a caller, and the start of the daemon as a process of its own. They
// use blocking sockets, and a thread for each connection.

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

/// Bounds of the platform, in seconds, as in the settings of a small
/// deployment.
inline constexpr double drain_s = 2.5;
inline constexpr double stable_window_s = 4;
inline constexpr double config_apply_s = 2.5;
inline constexpr double floor_share = 0.7;

enum exit_code { held = 0, broken = 1, could_not_run = 2 };

/// Seconds since the start of the script.
double now();
void sleep_until(double at);
void sleep_for(double time);
/// Unix time in milliseconds.
std::uint64_t unix_ms();
/// False if the script runs with TROUBLE=0.
bool has_trouble();

/// Writes a line to the record, with the time.
void record(const std::string& line);

struct message {
    /// Of a request: method and target. Of a response: status.
    std::string method;
    std::string target;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    /// The value of a header, whose name is in lower case; empty if absent.
    std::string header(const std::string& name) const;
    std::string path() const;
    std::optional<std::string> query(const std::string& name) const;
};

/// A socket that is closed with its last copy.
class connection {
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Reads one message; nothing if the connection ended before its end.
    std::optional<message> read();
    bool write(const std::string& text);
    bool has_peer_closed() const;
    /// Ends the connection with a reset; the owner closes it later.
    void reset();
    /// Ends the connection in order, as close() of a process does.
    void close();

private:
    bool fill();

    std::atomic<int> descriptor;
    std::string unread;
    std::mutex mutex;
};

using connection_ptr = std::shared_ptr<connection>;

/// A connection to a loopback port; nothing if it is refused.
connection_ptr connect_to(std::uint16_t port);

/// The text of a response with a length.
std::string response_text(int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body);

/// A listener on a loopback port, which serves each connection on a thread.
class server {
public:
    using handler = std::function<void(const connection_ptr&)>;

    server(std::uint16_t port, handler serve);
    ~server();
    std::uint16_t get_port() const { return this->port; }
    /// Closes the listener and resets all connections.
    void stop();

private:
    void accept_all();

    std::uint16_t port;
    handler serve;
    int listener = -1;
    std::mutex mutex;
    std::set<connection_ptr> open;
    std::atomic<int> running{ 0 };
    std::thread accepting;
};

/// A loopback port that is free now.
std::uint16_t free_port();

/// The platform's store: objects by kind, lists, watches, conditional writes.
class store {
public:
    store();
    std::uint16_t get_port() const { return this->listening.get_port(); }

    /// Writes an object as operators and workers do; returns the time of the
    /// acknowledgement.
    double put(const std::string& kind, const std::string& name,
        const nlohmann::json& spec);
    double remove(const std::string& kind, const std::string& name);
    /// Cuts off the watches that wait; returns how many.
    int cut_watches();

private:
    struct object {
        nlohmann::json spec;
        std::uint64_t revision = 0;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    void serve(const connection_ptr& peer);
    std::string answer(const message& call);
    std::string list(const message& call, const std::string& kind);
    /// Empty if the watch was cut off.
    std::string watch(
        const message& call, const std::string& kind, std::uint64_t after);
    std::string write(
        const message& call, const std::string& kind, const std::string& name);
    void store_change(
        const std::string& kind, const std::string& name, bool is_deleted);

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    int cuts = 0;
    int waiting = 0;
    std::map<std::string, std::map<std::string, object>> objects;
    std::deque<change> history;
    server listening;
};

/// One request that reached a worker.
struct arrival {
    std::string request;
    std::string worker;
    std::string path;
    double at = 0;
    /// Whether the worker began to work on it.
    bool has_run = false;
    /// Whether the worker's end broke it off.
    bool is_broken_off = false;
    bool is_answered_in_time = false;
    /// When the worker stopped its work on it; 0 before.
    double ended_at = 0;
};

/// All requests that reached workers.
class arrivals {
public:
    std::size_t add(arrival each);
    void set_run(std::size_t index);
    void set_broken_off(std::size_t index);
    void set_answered(std::size_t index);
    void set_ended(std::size_t index);
    std::vector<arrival> all() const;

private:
    mutable std::mutex mutex;
    std::vector<arrival> list;
};

/// A worker of one service. It serves one request at a time on a connection.
class worker {
public:
    static constexpr int slots = 6;
    static constexpr int queue_length = 24;

    worker(store& platform, arrivals& seen, std::string id, std::string service,
        double work_s);
    ~worker();

    const std::string& get_id() const { return this->id; }
    std::uint16_t get_port() const { return this->port; }

    /// Listens, on a new port unless one is given.
    void start(std::uint16_t wanted_port = 0);
    /// Writes the worker's entry; returns the time of the acknowledgement.
    double enter(const std::string& state, std::uint64_t born);
    /// Ends the process: the listener and all connections.
    void end();

    /// Replaces the answer to a request, called when a slot is free or as soon
    /// as it arrives; for stand-ins that answer wrongly.
    using hook = std::function<bool(
        worker& self, const connection_ptr& peer, const message& request)>;
    /// Called with each request before it waits for a slot; true if it was
    /// answered.
    hook before_run;
    /// Called when the run has begun.
    hook in_run;

    std::string refusal(const std::string& request_id, bool closes) const;

private:
    void serve(const connection_ptr& peer);
    bool run(
        const connection_ptr& peer, const message& request, std::size_t index);

    store& platform;
    arrivals& seen;
    std::string id;
    std::string service;
    double work_s;
    std::uint16_t port = 0;
    std::uint64_t sequence = 0;
    std::atomic<bool> ended{ true };
    std::mutex mutex;
    int running = 0;
    int waiting = 0;
    std::unique_ptr<server> listening;
};

/// The daemon, as the deploy file starts it.
class daemon_process {
public:
    /// Writes the settings from the template of the deploy file and starts the
    /// program.
    explicit daemon_process(std::uint16_t store_port);
    ~daemon_process();

    std::uint16_t get_front() const { return this->front; }
    /// Starts it, as the constructor does, after kill().
    void start();
    void kill();
    /// Waits until it says that it is ready; false after 20 s.
    bool wait_until_ready() const;
    bool is_running() const;
    pid_t get_pid() const { return this->pid; }

private:
    std::uint16_t front;
    std::uint16_t readiness;
    std::string settings;
    pid_t pid = -1;
};

/// The answer that a caller got.
struct answer {
    bool is_closed = false;
    int status = 0;
    bool is_signed = false;
    std::string body;
    double sent_at = 0;
    double ended_at = 0;
};

/// Sends one request on a kept connection, which is opened when needed.
class caller {
public:
    caller(std::uint16_t front, std::string host);
    answer send(const std::string& method, const std::string& path,
        const std::string& id, int deadline_ms, const std::string& body);

private:
    std::uint16_t front;
    std::string host;
    connection_ptr open;
};

/// A route of a configuration, as the operator writes it.
nlohmann::json make_route(const std::string& host, const std::string& prefix,
    const std::string& service, const std::string& kind);
nlohmann::json make_configuration(const std::string& version,
    const nlohmann::json& routes, const std::vector<std::string>& services);

/// Runs a script's body with a limit of 110 s, and reports what it returns. The
/// arguments are the file of the record and a folder for files that are
/// removed.
int run_script(int argc, char** argv, const std::function<int()>& body);

} // namespace review
