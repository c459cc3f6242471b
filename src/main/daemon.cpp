#include "main/daemon.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <easylogging++.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenward::main {

namespace asio = boost::asio;

namespace {

    std::uint64_t unix_ms()
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<core::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count());
    }

    /// Wall clock minus runtime clock, in milliseconds.
    std::uint64_t wall_clock_offset()
    {
        const auto runtime = std::chrono::duration_cast<core::milliseconds>(
            core::runtime_clock::now().time_since_epoch());
        return unix_ms() - static_cast<std::uint64_t>(runtime.count());
    }

} // namespace

daemon::daemon(asio::io_context& context, settings startup_settings)
    : context(context)
    , startup_settings(std::move(startup_settings))
    , current_settings(this->startup_settings)
    , incarnation(unix_ms())
    , standings(this->configuration, this->workers)
    , store(this->startup_settings.get_platform_endpoint())
    , fleet(context, this->startup_settings, this->incarnation)
    , peer_claims(this->fleet)
    , claims(
          this->startup_settings.get_id(), this->incarnation, this->peer_claims)
    , guard(this->fleet)
    , aggregators(this->startup_settings.get_zone(), wall_clock_offset())
    , applier(this->configuration, this->workers, this->claims, this->fleet)
    , responses(this->startup_settings.make_response_budget())
    , dispatcher(context.get_executor(), this->standings, this->standings,
          this->guard, this->responses)
    , upstreams(this->dispatcher, this->guard)
    , limits(this->dispatcher, this->configuration)
    , gate(this->limits)
    , publisher(this->store, this->fleet)
    , sync(context, this->store, this->publisher, this->fleet)
    , roster_updates(
          context, this->store, this->claims, this->peer_claims, this->fleet)
    , evidence(context, this->configuration, this->workers, this->standings,
          this->dispatcher, this->gate, this->aggregators, this->fleet)
    , router(this->aggregators, this->evidence, this->standings, this->claims,
          this->guard)
    , terms(context, this->configuration, this->workers, this->dispatcher,
          this->fleet)
    , probed{ this->terms }
    , probes(this->probed, this->dispatcher.get_state(),
          this->dispatcher.get_connections())
    , requests(
          this->gate, this->claims, this->guard, this->upstreams, this->metrics)
    , callers(context, this->configuration, this->requests,
          this->startup_settings.make_body_memory(),
          this->startup_settings.get_max_connections())
    , view({ this->configuration, this->store, this->publisher, this->sync,
          this->fleet, this->claims, this->guard, this->dispatcher,
          this->standings, this->metrics,
          [this] { return this->callers.in_flight(); } })
    , admin(context, this->view)
{
}

bool daemon::start(core::error& reason)
{
    const bool is_listening = this->fleet.start(this->applier, this->router,
                                  this->startup_settings.get_seeds(), reason)
        && this->admin.listen(
            this->startup_settings.get_operator_endpoint(), reason)
        && this->callers.listen(
            this->startup_settings.get_caller_endpoint(), reason);
    if (!is_listening)
    {
        return false;
    }
    this->sync.start();
    this->roster_updates.start();
    this->evidence.start();
    this->terms.start();
    asio::co_spawn(
        asio::make_strand(this->context), this->guard.run(), asio::detached);
    asio::co_spawn(
        asio::make_strand(this->context), this->probes.run(), asio::detached);
    return true;
}

asio::awaitable<void> daemon::drain(core::time_point signalled)
{
    LOG(INFO) << "draining";
    const settings times
        = this->current_settings.read([](const settings& now) { return now; });
    const auto cut_at
        = signalled + times.get_drain_delay() + times.get_drain_limit();
    this->view.begin_drain();
    this->callers.begin_closing();
    co_await core::wait_until(
        std::min(cut_at, core::runtime_clock::now() + times.get_drain_delay()));
    this->callers.stop_accepting();
    this->callers.begin_drain();
    const bool is_idle = co_await this->callers.wait_until_idle(
        std::max(cut_at, core::runtime_clock::now() + last_read_time));
    if (!is_idle)
    {
        this->cut();
    }
    co_await this->fleet.leave();
    this->stop_loops();
    LOG(INFO) << "drained";
}

void daemon::reload(const settings& next)
{
    this->current_settings.store(next);
}

void daemon::cut()
{
    const auto requests_cut = this->callers.close_all();
    this->metrics.add("requests_cut", requests_cut);
    LOG(WARNING) << requests_cut << " requests in flight were aborted";
}

void daemon::stop_loops()
{
    this->sync.stop();
    this->roster_updates.stop();
    this->evidence.stop();
    this->terms.stop();
    this->guard.stop();
    this->fleet.stop();
}

} // namespace pollenward::main
