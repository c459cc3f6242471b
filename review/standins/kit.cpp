#include "kit.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace review {

namespace {

    using steady = std::chrono::steady_clock;

    const steady::time_point process_start = steady::now();
    std::mutex record_mutex;
    std::ofstream record_stream;

    std::string read_file(const std::string& name)
    {
        std::ifstream input(name);
        std::stringstream text;
        text << input.rdbuf();
        return text.str();
    }

    void replace_all(
        std::string& text, const std::string& from, const std::string& to)
    {
        for (std::size_t at = text.find(from); at != std::string::npos;
             at = text.find(from, at + to.size()))
        {
            text.replace(at, from.size(), to);
        }
    }

    /// The value of a field in a query.
    std::string parameter(const std::string& target, const std::string& name)
    {
        const auto query = target.find('?');
        if (query == std::string::npos)
        {
            return {};
        }
        std::stringstream fields(target.substr(query + 1));
        std::string field;
        while (std::getline(fields, field, '&'))
        {
            if (field.rfind(name + "=", 0) == 0)
            {
                return field.substr(name.size() + 1);
            }
        }
        return {};
    }

    response make_response(http::status status, const json& body)
    {
        response made(status, 11);
        made.set(http::field::content_type, "application/json");
        made.body() = body.dump();
        made.prepare_payload();
        return made;
    }

    tcp::endpoint endpoint_of(const std::string& address)
    {
        const auto colon = address.rfind(':');
        return { asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
    }

    bool has_peer_closed(tcp::socket& socket)
    {
        char byte = 0;
        const auto got
            = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void reset(tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        ::shutdown(socket.native_handle(), SHUT_RD);
    }

} // namespace

double now()
{
    return std::chrono::duration<double>(steady::now() - process_start).count();
}

void sleep_for(double time)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(time));
}

void sleep_until(double time)
{
    sleep_for(std::max(0.0, time - now()));
}

bool wait_for(double time, const std::function<bool()>& condition)
{
    const double end = now() + time;
    while (!condition())
    {
        if (now() >= end)
        {
            return false;
        }
        sleep_for(0.02);
    }
    return true;
}

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void open_record(const std::string& file)
{
    record_stream.open(file);
}

void note(const std::string& line)
{
    const std::lock_guard lock(record_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", now());
    record_stream << time << line << std::endl;
}

std::uint16_t free_port()
{
    static std::set<std::uint16_t> given;
    asio::io_context context;
    while (true)
    {
        tcp::acceptor probe(
            context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        const auto port = probe.local_endpoint().port();
        if (given.insert(port).second)
        {
            return port;
        }
    }
}

std::string temporary_folder()
{
    static const std::string folder = [] {
        std::string pattern
            = (std::filesystem::temp_directory_path() / "review-XXXXXX")
                  .string();
        const char* made = ::mkdtemp(pattern.data());
        if (made == nullptr)
        {
            std::cerr << "no temporary folder\n";
            std::_Exit(2);
        }
        return std::string(made);
    }();
    static const struct remover {
        ~remover()
        {
            std::error_code ignored;
            std::filesystem::remove_all(folder, ignored);
        }
    } at_exit;
    return folder;
}

std::string make_id()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx",
        static_cast<unsigned long long>(random()));
    return text;
}

json make_configuration(int version, const std::string& host,
    const std::string& service, double timeout_s)
{
    const auto route = [&](const char* prefix, const char* kind, int attempts) {
        return json{ { "Host", host }, { "PathPrefix", prefix },
            { "Kind", kind }, { "TimeoutS", timeout_s },
            { "TargetLatencyS", timeout_s / 4 }, { "Priority", 0 },
            { "Service", service }, { "MaxAttempts", attempts } };
    };
    return { { "Version", "r" + std::to_string(version) },
        { "Routes",
            { { "r-safe", route("/safe/", "safe", 2) },
                { "r-unsafe", route("/unsafe/", "unsafe", 2) } } },
        { "Services",
            { { service,
                { { "HealthPath", "/health" }, { "MaxConnections", 390 },
                    { "Protocol", "h1" }, { "Tls", false } } } } },
        { "Limits",
            { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 67108864 },
                { "HeaderTimeoutS", 3 }, { "IdleTimeoutS", 15 } } } };
}

// http_service

http_service::http_service(handler handle, std::uint16_t port)
    : handle(std::move(handle))
    , bound_port(port == 0 ? free_port() : port)
{
    this->restart();
}

http_service::~http_service()
{
    this->stop();
    std::vector<std::thread> ending;
    {
        const std::lock_guard lock(this->mutex);
        ending.swap(this->threads);
    }
    for (auto& each : ending)
    {
        each.join();
    }
}

std::string http_service::address() const
{
    return "127.0.0.1:" + std::to_string(this->bound_port);
}

void http_service::restart()
{
    auto opened = std::make_unique<tcp::acceptor>(this->context);
    const tcp::endpoint local(
        asio::ip::address_v4::loopback(), this->bound_port);
    opened->open(local.protocol());
    opened->set_option(asio::socket_base::reuse_address(true));
    opened->bind(local);
    opened->listen();
    this->stopped = false;
    const std::lock_guard lock(this->mutex);
    this->acceptor = std::move(opened);
    this->threads.emplace_back([this] { this->accept_all(); });
}

void http_service::stop()
{
    this->stopped = true;
    const std::lock_guard lock(this->mutex);
    if (this->acceptor)
    {
        // Ends the accept() that waits in its thread.
        ::shutdown(this->acceptor->native_handle(), SHUT_RDWR);
    }
    for (const auto& each : this->open)
    {
        reset(*each);
    }
}

void http_service::go_dark()
{
    this->dark = true;
    const std::lock_guard lock(this->mutex);
    ::listen(this->acceptor->native_handle(), 0);
    // The kernel drops the opening packets when the queue is full. One filler
    // may be taken by the accept() that waits already.
    constexpr int filler_count = 4;
    for (int i = 0; i < filler_count; ++i)
    {
        auto filler = std::make_unique<tcp::socket>(this->context, tcp::v4());
        boost::system::error_code ignored;
        filler->native_non_blocking(true, ignored);
        const tcp::endpoint own(
            asio::ip::address_v4::loopback(), this->bound_port);
        // Asio's connect would wait.
        ::connect(filler->native_handle(), own.data(),
            static_cast<socklen_t>(own.size()));
        this->fillers.push_back(std::move(filler));
        sleep_for(0.01);
    }
}

void http_service::end_dark()
{
    const std::lock_guard lock(this->mutex);
    this->fillers.clear();
    for (const auto& each : this->open)
    {
        reset(*each);
    }
    ::listen(this->acceptor->native_handle(), 128);
    this->dark = false;
}

void http_service::accept_all()
{
    while (!this->stopped)
    {
        auto socket = std::make_shared<tcp::socket>(this->context);
        boost::system::error_code failure;
        this->acceptor->accept(*socket, failure);
        if (failure || this->stopped)
        {
            break;
        }
        while (this->dark)
        {
            sleep_for(0.01);
        }
        boost::system::error_code ignored;
        socket->set_option(tcp::no_delay(true), ignored);
        const std::lock_guard lock(this->mutex);
        this->open.insert(socket);
        this->threads.emplace_back([this, socket] { this->serve(socket); });
    }
    const std::lock_guard lock(this->mutex);
    boost::system::error_code ignored;
    this->acceptor->close(ignored);
}

void http_service::serve(std::shared_ptr<tcp::socket> socket)
{
    boost::beast::flat_buffer buffer;
    while (!this->stopped)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        parser.header_limit(32768);
        boost::system::error_code failure;
        http::read(*socket, buffer, parser, failure);
        if (failure || this->stopped)
        {
            break;
        }
        const bool is_kept = parser.get().keep_alive();
        auto answer = this->handle(parser.get(), *socket);
        if (!answer || this->stopped)
        {
            break;
        }
        answer->keep_alive(is_kept);
        http::write(*socket, *answer, failure);
        if (failure || !is_kept)
        {
            break;
        }
    }
    const std::lock_guard lock(this->mutex);
    this->open.erase(socket);
    boost::system::error_code ignored;
    socket->close(ignored);
}

// store

store::store()
    : service([this](const request& received, tcp::socket&) {
        return this->answer(received);
    })
{
}

json store::encode(const std::string& name, const object& stored) const
{
    return { { "Metadata",
                 { { "Name", name }, { "Revision", stored.revision },
                     { "Created", stored.created },
                     { "Finalizers", json::array() }, { "Deleting", false } } },
        { "Spec", stored.spec }, { "Status", stored.status } };
}

void store::put_locked(
    const std::string& kind, const std::string& name, const json& spec)
{
    object& stored = this->objects[kind][name];
    if (stored.revision != 0 && stored.spec == spec)
    {
        return;
    }
    stored.spec = spec;
    stored.revision = ++this->revision;
    stored.created = stored.created == 0 ? stored.revision : stored.created;
    this->history.push_back({ stored.revision, kind,
        { { "Object", this->encode(name, stored) }, { "Deleted", false } } });
    this->changed.notify_all();
}

void store::remove_locked(const std::string& kind, const std::string& name)
{
    auto& named = this->objects[kind];
    const auto found = named.find(name);
    if (found == named.end())
    {
        return;
    }
    const json last = this->encode(name, found->second);
    named.erase(found);
    this->history.push_back({ ++this->revision, kind,
        { { "Object", last }, { "Deleted", true } } });
    this->changed.notify_all();
}

void store::put(
    const std::string& kind, const std::string& name, const json& spec)
{
    const std::lock_guard lock(this->mutex);
    this->put_locked(kind, name, spec);
}

void store::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    this->remove_locked(kind, name);
}

std::size_t store::count(const std::string& kind)
{
    const std::lock_guard lock(this->mutex);
    return this->objects[kind].size();
}

response store::list(const std::string& kind, const std::string& after)
{
    constexpr std::size_t page_size = 500;
    const std::lock_guard lock(this->mutex);
    json items = json::array();
    bool has_more = false;
    for (const auto& [name, stored] : this->objects[kind])
    {
        if (name <= after && !after.empty())
        {
            continue;
        }
        if (items.size() == page_size)
        {
            has_more = true;
            break;
        }
        items.push_back(this->encode(name, stored));
    }
    return make_response(http::status::ok,
        { { "items", items }, { "HasMore", has_more },
            { "StoreRevision", this->revision } });
}

response store::watch(
    const std::string& kind, std::uint64_t after, std::int64_t wait_ms)
{
    std::unique_lock lock(this->mutex);
    json events = json::array();
    const auto collect = [&] {
        for (const change& each : this->history)
        {
            if (each.revision > after && each.kind == kind)
            {
                events.push_back(each.event);
            }
        }
        return !events.empty();
    };
    this->changed.wait_for(lock, std::chrono::milliseconds(wait_ms), collect);
    return make_response(http::status::ok,
        { { "events", events }, { "StoreRevision", this->revision } });
}

response store::write(
    const request& received, const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    const auto body = received.body().empty()
        ? json::object()
        : json::parse(received.body(), nullptr, false);
    const json metadata = body.value("Metadata", json::object());
    auto& named = this->objects[kind];
    if (received.method() == http::verb::post)
    {
        const std::string created = metadata.value("Name", "");
        if (named.count(created) != 0)
        {
            return make_response(
                http::status::conflict, this->encode(created, named[created]));
        }
        this->put_locked(kind, created, body.value("Spec", json()));
        return make_response(
            http::status::created, this->encode(created, named[created]));
    }
    if (named.count(name) == 0)
    {
        return make_response(http::status::not_found, json::object());
    }
    if (received.method() == http::verb::delete_)
    {
        this->remove_locked(kind, name);
        return make_response(http::status::ok, json::object());
    }
    this->put_locked(kind, name, body.value("Spec", json()));
    return make_response(http::status::ok, this->encode(name, named[name]));
}

std::optional<response> store::answer(const request& received)
{
    const std::string target(received.target());
    const std::string path = target.substr(0, target.find('?'));
    const std::string prefix = "/objects/";
    if (path.rfind(prefix, 0) != 0)
    {
        return make_response(http::status::not_found, json::object());
    }
    const std::string rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name
        = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (received.method() != http::verb::get)
    {
        return this->write(received, kind, name);
    }
    const std::string after = parameter(target, "Watch");
    if (!after.empty())
    {
        const std::string wait = parameter(target, "WaitMs");
        return this->watch(
            kind, std::stoull(after), wait.empty() ? 0 : std::stoll(wait));
    }
    return this->list(kind, parameter(target, "after"));
}

// worker

worker::worker(std::string id, std::string service, double work_s)
    : name(std::move(id))
    , service_name(std::move(service))
    , work_s(work_s)
    , service([this](const request& received, tcp::socket& peer) {
        return this->answer(received, peer);
    })
{
}

json worker::entry(const std::string& zone) const
{
    return { { "Service", this->service_name },
        { "Address", this->service.address() }, { "Zone", zone },
        { "Version", "v1" }, { "Slots", slots }, { "State", "ready" },
        { "WarmupLeftS", 0 }, { "Sequence", 4 }, { "born", 1764928800000ULL } };
}

std::vector<run> worker::runs() const
{
    const std::lock_guard lock(this->mutex);
    return this->seen;
}

void worker::crash_on(
    std::function<bool(const request&)> poison, double down_s, bool is_dark)
{
    const std::lock_guard lock(this->mutex);
    this->poison = std::move(poison);
    this->down_s = down_s;
    this->crashes_dark = is_dark;
}

void worker::crash_now(double down_s)
{
    {
        const std::lock_guard lock(this->mutex);
        this->down_s = down_s;
    }
    this->crash();
}

bool worker::is_running(const std::string& target) const
{
    const std::lock_guard lock(this->mutex);
    return this->running_targets.count(target) != 0;
}

void worker::end()
{
    this->is_down = true;
    this->service.stop();
}

void worker::crash()
{
    if (this->is_crashing.exchange(true))
    {
        return;
    }
    note("worker " + this->name + " crashes");
    // The listener goes first: a peer that sees its connection break must not
    // find the worker reachable.
    if (this->crashes_dark)
    {
        this->service.go_dark();
    }
    else
    {
        this->service.stop();
    }
    this->is_down = true;
    std::thread([this] {
        sleep_for(this->down_s);
        this->is_down = false;
        if (this->crashes_dark)
        {
            this->service.end_dark();
        }
        else
        {
            this->service.restart();
        }
        this->is_crashing = false;
        note("worker " + this->name + " is back");
    }).detach();
}

response worker::reply(http::status status, const request& received) const
{
    response made(status, 11);
    made.set("Request-Id", received["Request-Id"]);
    made.set("Server-Load",
        std::to_string(this->running) + "," + std::to_string(this->waiting)
            + "," + std::to_string(slots));
    return made;
}

std::optional<response> worker::answer(
    const request& received, tcp::socket& peer)
{
    if (received.target() == "/health")
    {
        response healthy(http::status::ok, 11);
        healthy.set("Instance-Id", this->name);
        healthy.prepare_payload();
        return healthy;
    }
    const auto target = received["Target-Instance"];
    if (!target.empty() && target != this->name)
    {
        response other(http::status::misdirected_request, 11);
        other.set("Instance-Id", this->name);
        other.set("Not-Executed", "1");
        other.prepare_payload();
        return other;
    }
    while (this->service.is_dark())
    {
        // The crash took the request with it; no answer is sent.
        sleep_for(0.01);
        if (!this->service.is_dark())
        {
            return std::nullopt;
        }
    }
    std::unique_lock lock(this->mutex);
    if (this->running >= slots && this->waiting >= queue)
    {
        response full(http::status::service_unavailable, 11);
        full.set("Not-Executed", "1");
        full.prepare_payload();
        return full;
    }
    ++this->waiting;
    this->slot_free.wait(lock, [this] { return this->running < slots; });
    --this->waiting;
    ++this->running;
    const auto running_target
        = this->running_targets.insert(std::string(received.target()));
    const std::string id(received["Request-Id"]);
    this->seen.push_back(
        { now(), this->name, id, received.body().substr(0, 64) });
    const bool is_poison = this->poison && this->poison(received);
    lock.unlock();
    note("worker " + this->name + " runs " + id);
    const double end = now() + this->work_s;
    bool is_dropped = false;
    if (is_poison)
    {
        this->crash();
    }
    while (now() < end && !is_dropped)
    {
        sleep_for(0.005);
        is_dropped = this->is_down || has_peer_closed(peer);
    }
    while (this->service.is_dark())
    {
        sleep_for(0.01);
        is_dropped = true;
    }
    lock.lock();
    --this->running;
    this->running_targets.erase(running_target);
    this->slot_free.notify_one();
    if (is_dropped || is_poison)
    {
        note("worker " + this->name + " dropped " + id);
        return std::nullopt;
    }
    auto made = this->reply(http::status::ok, received);
    made.set("Server-Signature", "3e1b.07.5a2.600.0." + id.substr(0, 8));
    made.body() = "done " + id;
    made.prepare_payload();
    return made;
}

// relay

relay::relay(std::string target)
    : acceptor(this->context,
        tcp::endpoint(asio::ip::address_v4::loopback(), free_port()))
    , target(std::move(target))
{
    std::thread([this] { this->accept_all(); }).detach();
}

std::string relay::address() const
{
    return "127.0.0.1:"
        + std::to_string(this->acceptor.local_endpoint().port());
}

void relay::hold_once(const std::string& text, double time)
{
    const std::lock_guard lock(this->mutex);
    this->held_text = text;
    this->held_time = time;
}

void relay::accept_all()
{
    while (true)
    {
        auto socket = std::make_shared<tcp::socket>(this->context);
        boost::system::error_code failure;
        this->acceptor.accept(*socket, failure);
        if (failure)
        {
            return;
        }
        std::thread([this, socket] { this->pass(socket); }).detach();
    }
}

void relay::pass(std::shared_ptr<tcp::socket> client)
{
    auto server = std::make_shared<tcp::socket>(this->context);
    boost::system::error_code failure;
    server->connect(endpoint_of(this->target), failure);
    if (failure)
    {
        return;
    }
    boost::system::error_code ignored;
    client->set_option(tcp::no_delay(true), ignored);
    server->set_option(tcp::no_delay(true), ignored);
    const auto hold = std::make_shared<std::atomic<double>>(0);
    std::thread back([this, client, server, hold] {
        std::vector<char> bytes(65536);
        boost::system::error_code failed;
        while (true)
        {
            const auto count = server->read_some(asio::buffer(bytes), failed);
            if (failed)
            {
                break;
            }
            const double time = hold->exchange(0);
            if (time > 0)
            {
                note("link holds back an answer of the store for "
                    + std::to_string(time) + " s");
                this->held = now();
                sleep_for(time);
            }
            asio::write(*client, asio::buffer(bytes.data(), count), failed);
            if (time > 0)
            {
                this->delivered = now();
                note("link delivers the answer");
            }
            if (failed)
            {
                break;
            }
        }
        ::shutdown(client->native_handle(), SHUT_RDWR);
    });
    std::vector<char> bytes(65536);
    while (true)
    {
        const auto count = client->read_some(asio::buffer(bytes), failure);
        if (failure)
        {
            break;
        }
        {
            const std::lock_guard lock(this->mutex);
            const std::string text(bytes.data(), count);
            const std::string line = text.substr(0, text.find('\r'));
            if (!this->held_text.empty()
                && line.find(this->held_text) != std::string::npos)
            {
                *hold = this->held_time;
                this->held_text.clear();
            }
        }
        asio::write(*server, asio::buffer(bytes.data(), count), failure);
        if (failure)
        {
            break;
        }
    }
    ::shutdown(server->native_handle(), SHUT_RDWR);
    back.join();
}

// client

client::client(std::string address)
    : address(std::move(address))
{
}

seen_answer client::send(const std::string& method, const std::string& target,
    const std::string& id, const std::string& body, int deadline_ms,
    double bytes_per_s)
{
    seen_answer seen;
    seen.sent_at = now();
    boost::system::error_code failure;
    if (!this->socket)
    {
        this->socket = std::make_unique<tcp::socket>(this->context);
        this->buffer.clear();
        this->socket->connect(endpoint_of(this->address), failure);
        if (failure)
        {
            this->socket.reset();
            seen.cause = "connect: " + failure.message();
            seen.ended_at = now();
            return seen;
        }
        this->socket->set_option(tcp::no_delay(true), failure);
    }
    std::string head = method + " " + target
        + " HTTP/1.1\r\nHost: kiosk.example" + "\r\nRequest-Id: " + id
        + "\r\nRequest-Deadline: " + std::to_string(deadline_ms) + "\r\n";
    if (method != "GET")
    {
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    head += "\r\n";
    asio::write(*this->socket, asio::buffer(head), failure);
    constexpr std::size_t chunk = 262144;
    const double begin = now();
    for (std::size_t sent = 0; sent < body.size() && !failure; sent += chunk)
    {
        const auto size = std::min(chunk, body.size() - sent);
        asio::write(
            *this->socket, asio::buffer(body.data() + sent, size), failure);
        if (bytes_per_s > 0)
        {
            sleep_until(begin + static_cast<double>(sent + size) / bytes_per_s);
        }
    }
    http::response_parser<http::string_body> parser;
    if (!failure)
    {
        http::read(*this->socket, this->buffer, parser, failure);
    }
    seen.ended_at = now();
    if (failure)
    {
        seen.cause = failure.message();
        this->socket.reset();
        return seen;
    }
    seen.status = parser.get().result_int();
    seen.has_signature = parser.get().count("Server-Signature") != 0;
    if (!parser.get().keep_alive())
    {
        this->socket.reset();
    }
    return seen;
}

// machine

machine::machine(std::string name, std::string zone, std::string store_address)
    : machine(
        std::move(name), std::move(zone), std::move(store_address), limits())
{
}

machine::machine(
    std::string name, std::string zone, std::string store_address, limits given)
    : node_name(std::move(name))
    , zone(std::move(zone))
    , store_address(std::move(store_address))
    , given(given)
    , front_port(free_port())
    , readiness_port(free_port())
    , internal_port(free_port())
    , settings_file(temporary_folder() + "/" + this->node_name + ".toml")
    , log_file(temporary_folder() + "/" + this->node_name + ".log")
{
}

machine::~machine()
{
    this->kill();
}

std::string machine::front() const
{
    return "127.0.0.1:" + std::to_string(this->front_port);
}

std::string machine::render_settings() const
{
    const auto local = [](std::uint16_t port) {
        return "127.0.0.1:" + std::to_string(port);
    };
    std::string text = read_file("deploy/settings.toml");
    const std::map<std::string, std::string> zones = { { "cm-a", "chiangmai" },
        { "kk-a", "khonkaen" }, { "hy-a", "hatyai" } };
    const std::string open = "{{#Zones}}";
    const std::string close = "{{/Zones}}";
    const auto begin = text.find(open);
    const auto end = text.find(close);
    const std::string section
        = text.substr(begin + open.size(), end - begin - open.size());
    std::string rendered;
    for (const auto& [name, region] : zones)
    {
        std::string each = section;
        replace_all(each, "{{@}}", name);
        replace_all(each, "{{.}}", region);
        rendered += each;
    }
    text.replace(begin, end + close.size() - begin, rendered);
    const std::map<std::string, std::string> values = {
        { "NodeName", this->node_name },
        { "Zone", this->zone },
        { "Region", zones.at(this->zone) },
        { "Limits.LinkMbps", std::to_string(this->given.link_mbps) },
        { "Bounds.GraceS", "6" },
        { "Listen.Front", local(this->front_port) },
        { "Listen.Readiness", local(this->readiness_port) },
        { "Ip", "127.0.0.1" },
        { "InternalPorts.0", std::to_string(this->internal_port) },
        { "Platform.Address", this->store_address },
        { "Bounds.RetryBudgetRatio", "0.2" },
        { "Bounds.BudgetSlack", std::to_string(this->given.slack) },
        { "Bounds.BudgetWindowS", "10" },
    };
    for (const auto& [name, value] : values)
    {
        replace_all(text, "{{" + name + "}}", value);
    }
    if (text.find("{{") != std::string::npos)
    {
        std::cerr << "the settings have an unknown placeholder\n" << text;
        std::_Exit(2);
    }
    return text;
}

void machine::start()
{
    std::ofstream(this->settings_file) << this->render_settings();
    const std::string deploy = read_file("deploy/system.toml");
    const std::string key = "run = \"";
    const auto begin = deploy.find(key) + key.size();
    const std::string command
        = deploy.substr(begin, deploy.find('"', begin) - begin);
    std::vector<std::string> words;
    std::stringstream split(command);
    for (std::string word; split >> word;)
    {
        words.push_back(word);
    }
    std::vector<char*> arguments;
    for (std::string& word : words)
    {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const std::string variable = "POLLENWARD_SETTINGS=" + this->settings_file;
    std::vector<char*> environment
        = { const_cast<char*>(variable.c_str()), nullptr };
    const int log = ::open(this->log_file.c_str(),
        O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    this->start_time = now();
    this->pid = ::fork();
    if (this->pid == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
        {
            ::_exit(2);
        }
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(arguments[0], arguments.data(), environment.data());
        ::_exit(2);
    }
    ::close(log);
    note("machine " + this->node_name + " starts");
}

void machine::kill()
{
    if (this->pid > 0)
    {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = 0;
        note("machine " + this->node_name + " is killed");
    }
}

void machine::signal(int number) const
{
    if (this->pid > 0)
    {
        ::kill(this->pid, number);
    }
}

bool machine::is_running()
{
    if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid)
    {
        this->pid = 0;
    }
    return this->pid > 0;
}

double machine::memory_mb() const
{
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.rfind("VmRSS:", 0) == 0)
        {
            return std::stod(line.substr(6)) / 1024;
        }
    }
    return 0;
}

unsigned machine::readiness() const
{
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code failure;
    socket.connect(
        { asio::ip::address_v4::loopback(), this->readiness_port }, failure);
    if (failure)
    {
        return 0;
    }
    // deploy/wire.toml maps the platform's call to this path.
    http::request<http::empty_body> call(http::verb::get, "/ready", 11);
    call.set(http::field::host, "machine");
    http::write(socket, call, failure);
    boost::beast::flat_buffer buffer;
    response answer;
    http::read(socket, buffer, answer, failure);
    return failure ? 0 : answer.result_int();
}

bool machine::wait_until_ready(double time) const
{
    return wait_for(time, [this] { return this->readiness() == 200; });
}

} // namespace review
