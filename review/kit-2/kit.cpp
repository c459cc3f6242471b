#include "kit.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace review {

using nlohmann::json;

namespace {

    constexpr const char* template_file = "deploy/settings.toml";
    constexpr const char* program = "target/pollenward_entry";

    const auto start_time = std::chrono::steady_clock::now();
    /// What happened, and the folder for what is removed at the end.
    std::string record_file;
    std::string work_folder;
    std::atomic<pid_t> running_daemon{ -1 };

    std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
            [](unsigned char each) { return std::tolower(each); });
        return text;
    }

    std::string trim(const std::string& text)
    {
        const auto first = text.find_first_not_of(" \t");
        const auto last = text.find_last_not_of(" \t\r");
        return first == std::string::npos
            ? std::string()
            : text.substr(first, last - first + 1);
    }

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    std::string endpoint(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    void replace_all(
        std::string& text, const std::string& from, const std::string& to)
    {
        for (auto at = text.find(from); at != std::string::npos;
             at = text.find(from, at + to.size()))
        {
            text.replace(at, from.size(), to);
        }
    }

} // namespace

double now()
{
    return std::chrono::duration<double>(
        std::chrono::steady_clock::now() - start_time)
        .count();
}

void sleep_for(double time)
{
    if (time > 0)
    {
        std::this_thread::sleep_for(std::chrono::duration<double>(time));
    }
}

void sleep_until(double at)
{
    sleep_for(at - now());
}

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

bool has_trouble()
{
    const char* chosen = std::getenv("TROUBLE");
    return chosen == nullptr || std::string(chosen) != "0";
}

void record(const std::string& line)
{
    static std::mutex mutex;
    static std::ofstream file(record_file);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", now());
    const std::lock_guard lock(mutex);
    file << time.data() << line << std::endl;
}

std::string message::header(const std::string& name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
}

std::string message::path() const
{
    return this->target.substr(0, this->target.find('?'));
}

std::optional<std::string> message::query(const std::string& name) const
{
    const auto mark = this->target.find('?');
    std::stringstream fields(
        mark == std::string::npos ? "" : this->target.substr(mark + 1));
    for (std::string field; std::getline(fields, field, '&');)
    {
        if (field.rfind(name + "=", 0) == 0)
        {
            return field.substr(name.size() + 1);
        }
    }
    return std::nullopt;
}

connection::connection(int descriptor)
    : descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    this->close();
}

void connection::close()
{
    const int open = this->descriptor.exchange(-1);
    if (open >= 0)
    {
        ::close(open);
    }
}

bool connection::fill()
{
    std::array<char, 16384> bytes{};
    const auto count = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0)
    {
        return false;
    }
    this->unread.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::read()
{
    std::size_t end = std::string::npos;
    while ((end = this->unread.find("\r\n\r\n")) == std::string::npos)
    {
        if (!this->fill())
        {
            return std::nullopt;
        }
    }
    std::stringstream head(this->unread.substr(0, end));
    this->unread.erase(0, end + 4);
    message made;
    std::string line;
    std::getline(head, line);
    std::stringstream first(line);
    if (line.rfind("HTTP/", 0) == 0)
    {
        std::string version;
        first >> version >> made.status;
    }
    else
    {
        first >> made.method >> made.target;
    }
    while (std::getline(head, line))
    {
        const auto colon = line.find(':');
        if (colon != std::string::npos)
        {
            made.headers[lower(line.substr(0, colon))]
                = trim(line.substr(colon + 1));
        }
    }
    const std::string length = made.header("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (this->unread.size() < size)
    {
        if (!this->fill())
        {
            return std::nullopt;
        }
    }
    made.body = this->unread.substr(0, size);
    this->unread.erase(0, size);
    return made;
}

bool connection::write(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    std::size_t sent = 0;
    while (sent < text.size())
    {
        const auto count = ::send(this->descriptor, text.data() + sent,
            text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::has_peer_closed() const
{
    char byte = 0;
    const auto count
        = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::reset()
{
    // A connect to an unspecified address ends a connection with a reset, and
    // keeps the descriptor, which a thread may be using.
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    ::connect(this->descriptor, &unspecified, sizeof unspecified);
    ::shutdown(this->descriptor, SHUT_RDWR);
}

connection_ptr connect_to(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
            sizeof address)
        != 0)
    {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_shared<connection>(descriptor);
}

std::string response_text(int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text + body;
}

server::server(std::uint16_t port, handler serve)
    : port(port)
    , serve(std::move(serve))
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
            sizeof address)
            != 0
        || ::listen(this->listener, 256) != 0)
    {
        throw std::runtime_error("cannot listen");
    }
    socklen_t size = sizeof address;
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    this->accepting = std::thread([this] { this->accept_all(); });
}

server::~server()
{
    this->stop();
}

void server::stop()
{
    if (!this->accepting.joinable())
    {
        return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->accepting.join();
    ::close(this->listener);
    {
        const std::lock_guard lock(this->mutex);
        for (const connection_ptr& each : this->open)
        {
            each->reset();
        }
    }
    while (this->running > 0)
    {
        sleep_for(0.005);
    }
}

void server::accept_all()
{
    while (true)
    {
        const int accepted
            = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
        {
            return;
        }
        auto peer = std::make_shared<connection>(accepted);
        {
            const std::lock_guard lock(this->mutex);
            this->open.insert(peer);
        }
        ++this->running;
        std::thread([this, peer] {
            this->serve(peer);
            {
                const std::lock_guard lock(this->mutex);
                this->open.erase(peer);
            }
            --this->running;
        }).detach();
    }
}

std::uint16_t free_port()
{
    // Below the ports that the kernel picks for connections.
    constexpr unsigned first = 10000;
    constexpr unsigned count = 20000;
    static std::atomic<unsigned> next(
        static_cast<unsigned>(::getpid()) * 37 % count);
    while (true)
    {
        const auto port = static_cast<std::uint16_t>(first + next++ % count);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool is_free
            = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address)
            == 0;
        ::close(descriptor);
        if (is_free)
        {
            return port;
        }
    }
}

store::store()
    : listening(
        free_port(), [this](const connection_ptr& peer) { this->serve(peer); })
{
}

void store::store_change(
    const std::string& kind, const std::string& name, bool is_deleted)
{
    object& changed_object = this->objects[kind][name];
    changed_object.revision = ++this->revision;
    const json encoded
        = { { "Metadata",
                { { "Name", name }, { "Revision", changed_object.revision },
                    { "Created", 1 }, { "Finalizers", json::array() },
                    { "Deleting", false } } },
              { "Spec", changed_object.spec }, { "Status", nullptr } };
    this->history.push_back({ this->revision, kind,
        { { "Object", encoded }, { "Deleted", is_deleted } } });
    if (is_deleted)
    {
        this->objects[kind].erase(name);
    }
    this->changed.notify_all();
}

double store::put(
    const std::string& kind, const std::string& name, const json& spec)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects[kind].find(name);
    // A beat that changes only the sequence changes no entry.
    json before
        = found == this->objects[kind].end() ? json() : found->second.spec;
    json after = spec;
    if (kind == "servers" && before.is_object())
    {
        before.erase("Sequence");
        after.erase("Sequence");
    }
    if (before != after)
    {
        this->objects[kind][name].spec = spec;
        this->store_change(kind, name, false);
        record("store: " + kind + "/" + name + " = " + spec.dump());
    }
    return now();
}

double store::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    if (this->objects[kind].count(name) != 0)
    {
        this->store_change(kind, name, true);
        record("store: " + kind + "/" + name + " removed");
    }
    return now();
}

int store::cut_watches()
{
    const std::lock_guard lock(this->mutex);
    ++this->cuts;
    this->changed.notify_all();
    return this->waiting;
}

void store::serve(const connection_ptr& peer)
{
    while (const auto call = peer->read())
    {
        sleep_for(0.004);
        const std::string text = this->answer(*call);
        if (text.empty() || !peer->write(text))
        {
            return;
        }
    }
}

std::string store::answer(const message& call)
{
    const std::string prefix = "/objects/";
    const std::string path = call.path();
    if (path.rfind(prefix, 0) != 0)
    {
        return response_text(404, {}, "{}");
    }
    const std::string rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name
        = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (call.method != "GET")
    {
        return this->write(call, kind, name);
    }
    if (const auto after = call.query("Watch"))
    {
        return this->watch(call, kind, std::stoull(*after));
    }
    return this->list(call, kind);
}

std::string store::list(const message& /*call*/, const std::string& kind)
{
    const std::lock_guard lock(this->mutex);
    json items = json::array();
    for (const auto& [name, each] : this->objects[kind])
    {
        items.push_back(
            { { "Metadata",
                  { { "Name", name }, { "Revision", each.revision },
                      { "Created", 1 }, { "Finalizers", json::array() },
                      { "Deleting", false } } },
                { "Spec", each.spec }, { "Status", nullptr } });
    }
    return response_text(200, { { "Content-Type", "application/json" } },
        json{ { "items", items }, { "HasMore", false },
            { "StoreRevision", this->revision } }
            .dump());
}

std::string store::watch(
    const message& call, const std::string& kind, std::uint64_t after)
{
    const auto wait = call.query("WaitMs");
    const double end = now() + (wait ? std::stod(*wait) / 1000 : 0);
    std::unique_lock lock(this->mutex);
    const int cuts_before = this->cuts;
    ++this->waiting;
    json events = json::array();
    while (true)
    {
        for (const change& each : this->history)
        {
            if (each.revision > after && each.kind == kind)
            {
                events.push_back(each.event);
            }
        }
        const double left = end - now();
        if (!events.empty() || left <= 0 || this->cuts != cuts_before)
        {
            break;
        }
        this->changed.wait_for(lock, std::chrono::duration<double>(left));
    }
    --this->waiting;
    if (events.empty() && this->cuts != cuts_before)
    {
        return {};
    }
    return response_text(200, { { "Content-Type", "application/json" } },
        json{ { "events", events }, { "StoreRevision", this->revision } }
            .dump());
}

std::string store::write(
    const message& call, const std::string& kind, const std::string& name)
{
    const json body = json::parse(call.body, nullptr, false);
    const json metadata
        = body.is_object() ? body.value("Metadata", json::object()) : json();
    const std::string wanted
        = call.method == "POST" ? metadata.value("Name", std::string()) : name;
    const std::lock_guard lock(this->mutex);
    const bool is_present = this->objects[kind].count(wanted) != 0;
    if (call.method == "POST" ? is_present : !is_present)
    {
        return response_text(is_present ? 409 : 404, {}, "{}");
    }
    const auto condition = call.query("Revision");
    if (condition
        && std::stoull(*condition) != this->objects[kind][wanted].revision)
    {
        return response_text(409, {}, "{}");
    }
    if (call.method != "DELETE")
    {
        this->objects[kind][wanted].spec = body.value("Spec", json());
    }
    this->store_change(kind, wanted, call.method == "DELETE");
    return response_text(call.method == "POST" ? 201 : 200, {}, "{}");
}

std::size_t arrivals::add(arrival each)
{
    const std::lock_guard lock(this->mutex);
    this->list.push_back(std::move(each));
    return this->list.size() - 1;
}

void arrivals::set_run(std::size_t index)
{
    const std::lock_guard lock(this->mutex);
    this->list[index].has_run = true;
}

void arrivals::set_broken_off(std::size_t index)
{
    const std::lock_guard lock(this->mutex);
    this->list[index].is_broken_off = true;
}

void arrivals::set_answered(std::size_t index)
{
    const std::lock_guard lock(this->mutex);
    this->list[index].is_answered_in_time = true;
}

void arrivals::set_ended(std::size_t index)
{
    const std::lock_guard lock(this->mutex);
    this->list[index].ended_at = now();
}

std::vector<arrival> arrivals::all() const
{
    const std::lock_guard lock(this->mutex);
    return this->list;
}

worker::worker(store& platform, arrivals& seen, std::string id,
    std::string service, double work_s)
    : platform(platform)
    , seen(seen)
    , id(std::move(id))
    , service(std::move(service))
    , work_s(work_s)
{
}

worker::~worker()
{
    this->end();
}

void worker::start(std::uint16_t wanted_port)
{
    this->ended = false;
    this->sequence = 0;
    this->listening = std::make_unique<server>(
        wanted_port, [this](const connection_ptr& peer) { this->serve(peer); });
    this->port = this->listening->get_port();
    record("worker " + this->id + " of " + this->service + " listens on "
        + endpoint(this->port));
}

double worker::enter(const std::string& state, std::uint64_t born)
{
    return this->platform.put("servers", this->id,
        { { "Service", this->service }, { "Address", endpoint(this->port) },
            { "Zone", "zone-a" }, { "Version", "v1" }, { "Slots", slots },
            { "State", state }, { "WarmupLeftS", 0 },
            { "Sequence", ++this->sequence }, { "born", born } });
}

void worker::end()
{
    if (!this->ended.exchange(true))
    {
        record("worker " + this->id + " ends");
        this->listening->stop();
    }
}

std::string worker::refusal(const std::string& request_id, bool closes) const
{
    std::vector<std::pair<std::string, std::string>> headers
        = { { "Request-Id", request_id }, { "Not-Executed", "1" } };
    if (closes)
    {
        headers.emplace_back("Connection", "close");
    }
    return response_text(503, headers, "");
}

void worker::serve(const connection_ptr& peer)
{
    while (const auto request = peer->read())
    {
        const std::string request_id = request->header("request-id");
        const std::string target = request->header("target-instance");
        if (!target.empty() && target != this->id)
        {
            record("worker " + this->id + " answers 421 to " + request_id
                + " for " + target);
            if (!peer->write(
                    response_text(421, { { "Instance-Id", this->id } }, "")))
            {
                return;
            }
            continue;
        }
        const std::size_t index
            = this->seen.add({ request_id, this->id, request->target, now() });
        record("worker " + this->id + " gets " + request_id + " "
            + request->method + " " + request->target);
        if (this->before_run && this->before_run(*this, peer, *request))
        {
            continue;
        }
        if (!this->run(peer, *request, index))
        {
            return;
        }
    }
}

bool worker::run(
    const connection_ptr& peer, const message& request, std::size_t index)
{
    const std::string request_id = request.header("request-id");
    const std::string limit = request.header("request-deadline");
    const double deadline
        = now() + (limit.empty() ? 60 : std::stod(limit) / 1000);
    {
        const std::lock_guard lock(this->mutex);
        if (this->running >= slots && this->waiting >= queue_length)
        {
            record("worker " + this->id + " is full for " + request_id);
            return peer->write(this->refusal(request_id, false));
        }
        ++this->waiting;
    }
    bool has_slot = false;
    while (!has_slot)
    {
        if (this->ended || peer->has_peer_closed())
        {
            const std::lock_guard lock(this->mutex);
            --this->waiting;
            return false;
        }
        if (now() >= deadline)
        {
            const std::lock_guard lock(this->mutex);
            --this->waiting;
            return peer->write(this->refusal(request_id, false));
        }
        {
            const std::lock_guard lock(this->mutex);
            has_slot = this->running < slots;
            this->running += has_slot ? 1 : 0;
            this->waiting -= has_slot ? 1 : 0;
        }
        if (!has_slot)
        {
            sleep_for(0.005);
        }
    }
    this->seen.set_run(index);
    record("worker " + this->id + " runs " + request_id);
    if (this->in_run)
    {
        this->in_run(*this, peer, request);
    }
    const double end = std::min(now() + this->work_s, deadline);
    bool is_dropped = false;
    while (now() < end && !is_dropped && !this->ended)
    {
        sleep_for(std::min(0.01, end - now()));
        is_dropped = peer->has_peer_closed();
    }
    this->seen.set_ended(index);
    int now_running = 0;
    int now_waiting = 0;
    {
        const std::lock_guard lock(this->mutex);
        now_running = --this->running;
        now_waiting = this->waiting;
    }
    if (this->ended)
    {
        this->seen.set_broken_off(index);
        record("worker " + this->id + " ended while it ran " + request_id);
        return false;
    }
    if (is_dropped)
    {
        record("worker " + this->id + " drops " + request_id);
        return false;
    }
    const bool is_late = now() >= deadline;
    if (!is_late)
    {
        this->seen.set_answered(index);
    }
    record(
        "worker " + this->id + (is_late ? " ends " : " answers ") + request_id);
    return peer->write(response_text(is_late ? 504 : 200,
        { { "Request-Id", request_id },
            { "Server-Signature", "s." + this->id + "." + request_id },
            { "Server-Load",
                std::to_string(now_running) + "," + std::to_string(now_waiting)
                    + "," + std::to_string(slots) } },
        this->id + " did " + request_id));
}

daemon_process::daemon_process(std::uint16_t store_port)
    : front(free_port())
    , readiness(free_port())
{
    std::ifstream file(template_file);
    std::string text{ std::istreambuf_iterator<char>(file), {} };
    if (text.empty() || ::access(program, X_OK) != 0)
    {
        throw std::runtime_error("the daemon is not built");
    }
    const auto section = text.find("{{#Zones}}");
    const std::string last = "{{/Zones}}";
    const auto section_end = text.find(last);
    text.replace(
        section, section_end + last.size() - section, "zone-a = \"region-a\"");
    const std::map<std::string, std::string> values = {
        { "NodeName", "front-zone-a-1" },
        { "Zone", "zone-a" },
        { "Region", "region-a" },
        { "Limits.LinkMbps", "1000.0" },
        { "Bounds.GraceS", "6" },
        { "Listen.Front", endpoint(this->front) },
        { "Listen.Readiness", endpoint(this->readiness) },
        { "Ip", "127.0.0.1" },
        { "InternalPorts.0", std::to_string(free_port()) },
        { "Platform.Address", endpoint(store_port) },
        { "Bounds.RetryBudgetRatio", "0.2" },
        { "Bounds.BudgetSlack", "62" },
        { "Bounds.BudgetWindowS", "10" },
    };
    for (const auto& [name, value] : values)
    {
        replace_all(text, "{{" + name + "}}", value);
    }
    this->settings = work_folder + "/settings.toml";
    std::ofstream(this->settings) << text;
    this->start();
}

void daemon_process::start()
{
    const std::string log = work_folder + "/daemon.log";
    const pid_t parent = ::getpid();
    this->pid = ::fork();
    if (this->pid == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
        {
            ::_exit(1);
        }
        const int output
            = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("POLLENWARD_SETTINGS", this->settings.c_str(), 1);
        ::setenv("POLLENWARD_MEMORY_MB", "260", 1);
        ::execl(program, program, nullptr);
        ::_exit(127);
    }
    running_daemon = this->pid;
    record("daemon front-zone-a-1 starts");
}

daemon_process::~daemon_process()
{
    this->kill();
}

void daemon_process::kill()
{
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    running_daemon = -1;
    record("daemon front-zone-a-1 is killed");
}

bool daemon_process::is_running() const
{
    return ::waitpid(this->pid, nullptr, WNOHANG) == 0;
}

bool daemon_process::wait_until_ready() const
{
    const double end = now() + 20;
    while (now() < end)
    {
        const auto open = connect_to(this->readiness);
        if (open && open->write("GET /ready HTTP/1.1\r\nHost: daemon\r\n\r\n"))
        {
            const auto reply = open->read();
            if (reply && reply->status == 200)
            {
                record("daemon is ready");
                return true;
            }
        }
        sleep_for(0.05);
    }
    return false;
}

caller::caller(std::uint16_t front, std::string host)
    : front(front)
    , host(std::move(host))
{
}

answer caller::send(const std::string& method, const std::string& path,
    const std::string& id, int deadline_ms, const std::string& body)
{
    answer got;
    got.sent_at = now();
    if (!this->open || this->open->has_peer_closed())
    {
        this->open = connect_to(this->front);
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + this->host
        + "\r\nRequest-Id: " + id
        + "\r\nRequest-Deadline: " + std::to_string(deadline_ms);
    text += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const bool is_sent = this->open && this->open->write(text + body);
    const auto reply = is_sent ? this->open->read() : std::nullopt;
    got.ended_at = now();
    got.is_closed = !reply;
    if (reply)
    {
        got.status = reply->status;
        got.is_signed = !reply->header("server-signature").empty();
        got.body = reply->body;
    }
    if (!reply || lower(reply->header("connection")) == "close")
    {
        this->open.reset();
    }
    std::array<char, 64> times{};
    std::snprintf(times.data(), times.size(), " sent %.3f status %d",
        got.sent_at, got.status);
    record("caller " + id + " " + method + " " + path + times.data()
        + (got.is_closed        ? " closed"
                : got.is_signed ? " signed"
                                : " own"));
    return got;
}

json make_route(const std::string& host, const std::string& prefix,
    const std::string& service, const std::string& kind)
{
    return { { "Host", host }, { "PathPrefix", prefix }, { "Kind", kind },
        { "TimeoutS", 8 }, { "TargetLatencyS", 2 }, { "Priority", 0 },
        { "Service", service }, { "MaxAttempts", 2 } };
}

json make_configuration(const std::string& version, const json& routes,
    const std::vector<std::string>& services)
{
    json table = json::object();
    for (const std::string& each : services)
    {
        table[each] = { { "HealthPath", "/health" }, { "MaxConnections", 390 },
            { "Protocol", "h1" }, { "Tls", false } };
    }
    return { { "Version", version }, { "Routes", routes },
        { "Services", table },
        { "Limits",
            { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 67108864 },
                { "HeaderTimeoutS", 3 }, { "IdleTimeoutS", 15 } } } };
}

int run_script(int argc, char** argv, const std::function<int()>& body)
{
    if (argc != 3)
    {
        std::cerr << "needs the file for the record and a folder\n";
        return could_not_run;
    }
    record_file = argv[1];
    work_folder = argv[2];
    ::signal(SIGPIPE, SIG_IGN);
    std::thread([] {
        sleep_until(110);
        record("the script took too long");
        const pid_t left = running_daemon;
        if (left > 0)
        {
            ::kill(left, SIGKILL);
        }
        ::_exit(could_not_run);
    }).detach();
    int code = could_not_run;
    try
    {
        code = body();
    }
    catch (const std::exception& failure)
    {
        record(std::string("could not run: ") + failure.what());
    }
    record(code == held      ? "result: held"
            : code == broken ? "result: broken"
                             : "result: could not run");
    // The threads of connections that are still open end with the process.
    std::cout.flush();
    ::_exit(code);
}

} // namespace review
