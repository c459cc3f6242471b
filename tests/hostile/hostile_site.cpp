#include "hostile/hostile_site.hpp"

#include "hostile/hostile_crowd.hpp"
#include "hostile/http_exchange.hpp"
#include "hostile/ordinary_caller.hpp"
#include "hostile/unread_bytes.hpp"
#include "process/local_resources.hpp"

#include <boost/asio/co_spawn.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>

namespace pollenward::hostile {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

    constexpr std::size_t ordinary_body = 8192;
    constexpr int slow_slots = 1000;
    /// How often the state of the daemon and the crowd is looked at.
    constexpr soak::seconds check_interval{ 0.02 };
    /// These end a test that hangs; none of them is checked.
    constexpr soak::seconds longest_start{ 30 };
    constexpr soak::seconds longest_sending{ 20 };
    constexpr std::chrono::seconds longest_run{ 150 };

    json make_route(const char* prefix, const char* service)
    {
        return { { "PathPrefix", prefix }, { "Host", "" }, { "Kind", "unsafe" },
            { "TimeoutS", 60 }, { "TargetLatencyS", 1.5 }, { "Priority", 0 },
            { "Service", service }, { "MaxAttempts", 2 } };
    }

    json make_service()
    {
        return { { "HealthPath", "/health" }, { "MaxConnections", 1740 },
            { "Protocol", "h1" }, { "Tls", false } };
    }

} // namespace

hostile_site::hostile_site()
    : store(this->context)
    , quick_worker(this->context, this->store, "i-quick", "quick", 6)
    , slow_worker(this->context, this->store, "i-slow", "slow", slow_slots)
    , caller_port(soak::take_port())
    , operator_port(soak::take_port())
    , fleet_port(soak::take_port())
    , folder(test::make_folder())
{
    this->configure();
    this->write_settings();
}

hostile_site::~hostile_site()
{
    this->daemon.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

void hostile_site::configure()
{
    this->store.put("config", "main",
        { { "Version", "r1" },
            { "Routes",
                { { "r-quick", make_route("/quick/", "quick") },
                    { "r-slow", make_route("/slow/", "slow") } } },
            { "Services",
                { { "quick", make_service() }, { "slow", make_service() } } },
            { "Limits",
                { { "MaxHeaderBytes", max_header_bytes },
                    { "MaxBodyBytes", max_body_bytes }, { "HeaderTimeoutS", 3 },
                    { "IdleTimeoutS", 15 } } } });
}

void hostile_site::write_settings() const
{
    const auto local = [](std::uint16_t port) {
        return "\"" + soak::get_own_address().to_string() + ":"
            + std::to_string(port) + "\"\n";
    };
    std::ofstream(this->folder / "settings.toml")
        << "[daemon]\nid = \"d\"\nzone = \"a\"\nregion = \"r\"\nthreads = 1\n"
        << "memory = " << memory_megabytes << "\ngrace = \"6s\"\n[listen]\n"
        << "callers = " << local(this->caller_port)
        << "operators = " << local(this->operator_port)
        << "fleet = " << local(this->fleet_port) << "[platform]\nendpoint = \""
        << this->store.get_address() << "\"\n[zones]\na = \"r\"\n";
}

asio::ip::tcp::endpoint hostile_site::caller_endpoint() const
{
    return { soak::get_own_address(), this->caller_port };
}

template <std::predicate Check>
asio::awaitable<bool> hostile_site::wait_until(Check check, soak::seconds limit)
{
    const soak::seconds end = soak::now() + limit;
    while (!check() && soak::now() < end)
    {
        co_await soak::sleep_for(check_interval);
    }
    co_return check();
}

asio::awaitable<bool> hostile_site::is_ready()
{
    soak::http_request request(boost::beast::http::verb::get, "/ready", 11);
    request.set(boost::beast::http::field::host, "operators");
    const auto answer
        = co_await exchange({ soak::get_own_address(), this->operator_port },
            request, longest_start);
    co_return answer && answer->result() == boost::beast::http::status::ok;
}

asio::awaitable<void> hostile_site::start_daemon()
{
    this->daemon = test::child_process::start("pollenward_entry",
        { "--settings", (this->folder / "settings.toml").string() },
        (this->folder / "log").string());
    if (!this->daemon)
    {
        throw std::runtime_error("pollenward_entry does not start");
    }
    asio::co_spawn(this->context, this->observe(), soak::rethrow_failure);
    const soak::seconds end = soak::now() + longest_start;
    while (!co_await this->is_ready())
    {
        if (soak::now() > end)
        {
            throw std::runtime_error("pollenward_entry is not ready");
        }
        co_await soak::sleep_for(check_interval);
    }
}

asio::awaitable<void> hostile_site::observe()
{
    while (const auto usage = process_usage::create(this->daemon->get_pid()))
    {
        this->peak = this->peak.with_larger_of(*usage);
        co_await soak::sleep_for(check_interval);
    }
}

asio::awaitable<void> hostile_site::call_during()
{
    const auto caller
        = ordinary_caller::make(this->caller_endpoint(), ordinary_body);
    this->during.push_back(co_await caller.call());
}

asio::awaitable<void> hostile_site::play_crowd(
    hostile_request request, std::size_t callers)
{
    co_await this->start_daemon();
    hostile_crowd crowd(
        this->context, this->caller_endpoint(), std::move(request));
    crowd.start(callers);
    co_await this->wait_until(
        [&] { return crowd.have_all_begun(); }, longest_sending);
    co_await this->call_during();
    co_await this->wait_until(
        [&] {
            return crowd.have_all_sent()
                && count_unread_bytes(this->caller_port) == 0;
        },
        longest_sending);
    co_await this->call_during();
    crowd.close();
    co_await this->wait_until(
        [&] { return crowd.count_open() == 0; }, longest_sending);
    const auto caller
        = ordinary_caller::make(this->caller_endpoint(), ordinary_body);
    this->afterwards = co_await caller.call();
    this->context.stop();
}

asio::awaitable<void> hostile_site::play_single(std::size_t body_size)
{
    co_await this->start_daemon();
    const auto single
        = ordinary_caller::make(this->caller_endpoint(), body_size)
              .with_most_tries(1);
    this->during.push_back(co_await single.call());
    const auto caller
        = ordinary_caller::make(this->caller_endpoint(), ordinary_body);
    this->afterwards = co_await caller.call();
    this->context.stop();
}

template <class Play>
run_result hostile_site::run(Play play)
{
    asio::co_spawn(this->context, std::move(play), soak::rethrow_failure);
    this->context.run_for(longest_run);
    const auto usage = process_usage::create(this->daemon->get_pid());
    return run_result::make(usage && !this->daemon->poll(),
        this->peak.with_larger_of(usage.value_or(process_usage())),
        this->during, this->afterwards);
}

run_result hostile_site::run_crowd(
    const hostile_request& request, std::size_t callers)
{
    return this->run(this->play_crowd(request, callers));
}

run_result hostile_site::run_single(std::size_t body_size)
{
    return this->run(this->play_single(body_size));
}

} // namespace pollenward::hostile
