// Stand-ins of the platform's store, of workers and of clients for the cases
// of this review, and the start of the project's daemons as processes.
// All of them speak what the users' PROTOCOL page says, on loopback addresses.
#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

/// Seconds since the start of the case, on the steady clock.
double now();
void sleep_until(double time);
void sleep_for(double time);
/// Waits until the condition holds; false if it does not within the time.
bool wait_for(double time, const std::function<bool()>& condition);

/// Whether TROUBLE is not 0: the case causes its disruption.
bool has_trouble();

/// Appends a line with the time to record.txt of the case.
void note(const std::string& line);
void open_record(const std::string& file);

std::uint16_t free_port();

/// Serves HTTP/1.1 connections, one thread each.
class http_service {
public:
    /// Returns nothing to close the connection without an answer. The socket
    /// is passed so that a handler can notice that its peer has closed.
    using handler
        = std::function<std::optional<response>(const request&, tcp::socket&)>;

    explicit http_service(handler handle, std::uint16_t port = 0);
    ~http_service();

    std::uint16_t port() const { return this->bound_port; }
    std::string address() const;

    /// Closes the listener and resets all connections, as a crash does.
    void stop();
    /// Listens again on the same port.
    void restart();

    /// Goes silent, as after a loss of power: the listener completes no new
    /// connection, and nothing is read or answered on the open ones.
    void go_dark();
    /// Ends the silence; resets the connections from before.
    void end_dark();
    bool is_dark() const { return this->dark; }

private:
    void accept_all();
    void serve(std::shared_ptr<tcp::socket> socket);

    handler handle;
    asio::io_context context;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::uint16_t bound_port = 0;
    std::mutex mutex;
    std::set<std::shared_ptr<tcp::socket>> open;
    std::vector<std::thread> threads;
    std::atomic<bool> stopped{ false };
    std::atomic<bool> dark{ false };
    /// Fill the listener's queue while it is dark.
    std::vector<std::unique_ptr<tcp::socket>> fillers;
};

/// The platform's metadata store.
class store {
public:
    store();

    std::string address() const { return this->service.address(); }
    /// Creates or replaces an object, as the operator or a worker does.
    void put(
        const std::string& kind, const std::string& name, const json& spec);
    void remove(const std::string& kind, const std::string& name);
    std::size_t count(const std::string& kind);

private:
    struct object {
        json spec;
        json status;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        json event;
    };

    std::optional<response> answer(const request& received);
    response list(const std::string& kind, const std::string& after);
    response watch(
        const std::string& kind, std::uint64_t after, std::int64_t wait_ms);
    response write(const request& received, const std::string& kind,
        const std::string& name);
    json encode(const std::string& name, const object& stored) const;
    void put_locked(
        const std::string& kind, const std::string& name, const json& spec);
    void remove_locked(const std::string& kind, const std::string& name);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, object>> objects;
    std::deque<change> history;
    std::uint64_t revision = 7;
    http_service service;
};

/// A request that began to run on a worker.
struct run {
    double at = 0;
    std::string worker;
    std::string request_id;
    std::string body;
};

/// A worker of a service.
class worker {
public:
    worker(std::string id, std::string service, double work_s);

    const std::string& id() const { return this->name; }
    json entry(const std::string& zone) const;
    std::vector<run> runs() const;
    /// Calls `poison` for each request before it runs; if it returns true, the
    /// worker crashes and is back after `down_s`. A dark crash is silent.
    void crash_on(std::function<bool(const request&)> poison, double down_s,
        bool is_dark = false);
    /// Crashes now; back after `down_s`.
    void crash_now(double down_s);
    /// Whether a request with this target is running.
    bool is_running(const std::string& target) const;
    /// Ends the worker's process: all its connections are reset.
    void end();

private:
    std::optional<response> answer(const request& received, tcp::socket& peer);
    response reply(http::status status, const request& received) const;
    void crash();

    static constexpr int slots = 6;
    static constexpr int queue = 24;

    std::string name;
    std::string service_name;
    double work_s;
    mutable std::mutex mutex;
    std::condition_variable slot_free;
    int running = 0;
    int waiting = 0;
    std::multiset<std::string> running_targets;
    std::vector<run> seen;
    std::function<bool(const request&)> poison;
    double down_s = 0;
    bool crashes_dark = false;
    std::atomic<bool> is_crashing{ false };
    std::atomic<bool> is_down{ false };
    http_service service;
};

/// Relays connections to the store. It can hold back the answers on one
/// connection, as a lost packet does until it is sent again.
class relay {
public:
    explicit relay(std::string target);

    std::string address() const;
    /// Holds the first answer to a call whose first line contains `text`.
    void hold_once(const std::string& text, double time);
    /// When an answer was held back, and when it was delivered; 0 before.
    double held_at() const { return this->held.load(); }
    double delivered_at() const { return this->delivered.load(); }

private:
    void accept_all();
    void pass(std::shared_ptr<tcp::socket> client);

    asio::io_context context;
    tcp::acceptor acceptor;
    std::string target;
    std::mutex mutex;
    std::string held_text;
    double held_time = 0;
    std::atomic<double> held{ 0 };
    std::atomic<double> delivered{ 0 };
};

/// What a client saw of one request.
struct seen_answer {
    /// 0 if the connection ended without a complete answer.
    unsigned status = 0;
    bool has_signature = false;
    double sent_at = 0;
    double ended_at = 0;
    std::string cause;
};

/// A client with a kept connection to one daemon.
class client {
public:
    explicit client(std::string address);

    /// Sends a request and waits for its answer. Connects if needed.
    seen_answer send(const std::string& method, const std::string& target,
        const std::string& id, const std::string& body, int deadline_ms,
        double bytes_per_s = 0);
    bool is_connected() const { return this->socket != nullptr; }

private:
    std::string address;
    asio::io_context context;
    std::unique_ptr<tcp::socket> socket;
    boost::beast::flat_buffer buffer;
};

/// A machine of the deployment, with one daemon started by the command of the
/// deploy file.
class machine {
public:
    struct limits {
        double link_mbps = 1000;
        int memory_mb = 260;
        int slack = 62;
    };

    machine(std::string name, std::string zone, std::string store_address);
    machine(std::string name, std::string zone, std::string store_address,
        limits given);
    ~machine();
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;

    void start();
    void kill();
    void signal(int number) const;
    /// Waits until the balancer's check is answered with 200.
    bool wait_until_ready(double time) const;
    bool is_running();
    /// Resident memory of the process.
    double memory_mb() const;
    const std::string& name() const { return this->node_name; }
    std::string front() const;
    double started_at() const { return this->start_time; }

private:
    std::string render_settings() const;
    unsigned readiness() const;

    std::string node_name;
    std::string zone;
    std::string store_address;
    limits given;
    std::uint16_t front_port;
    std::uint16_t readiness_port;
    std::uint16_t internal_port;
    std::string settings_file;
    std::string log_file;
    pid_t pid = 0;
    double start_time = 0;
};

/// A temporary folder, removed at the end of the process.
std::string temporary_folder();

/// A configuration with one route "/w/" for each kind of request.
json make_configuration(int version, const std::string& host,
    const std::string& service, double timeout_s);

std::string make_id();

} // namespace review
