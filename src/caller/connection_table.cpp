#include "caller/connection_table.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace pollenward::caller {

namespace asio = boost::asio;

namespace {

    bool is_in_flight(connection_phase phase)
    {
        return phase != connection_phase::idle
            && phase != connection_phase::lingering;
    }

} // namespace

std::uint64_t connection_table::add(connection_pointer connection)
{
    const std::uint64_t number = ++this->last_number;
    this->connections.store(number,
        entry{ std::move(connection), connection_phase::idle,
            core::runtime_clock::now() });
    return number;
}

void connection_table::remove(std::uint64_t number)
{
    this->connections.erase(number);
    this->notify_if_empty();
}

void connection_table::begin_request(std::uint64_t number)
{
    this->set_phase(
        number, connection_phase::reading_header, core::runtime_clock::now());
}

void connection_table::begin_body(std::uint64_t number, bool is_small)
{
    this->set_phase(number,
        is_small ? connection_phase::reading_small_body
                 : connection_phase::reading_large_body,
        std::nullopt);
}

void connection_table::begin_run(std::uint64_t number)
{
    this->set_phase(
        number, connection_phase::running, core::runtime_clock::now());
}

void connection_table::end_request(std::uint64_t number)
{
    this->set_phase(number, connection_phase::idle, core::runtime_clock::now());
}

void connection_table::begin_lingering(std::uint64_t number)
{
    this->set_phase(
        number, connection_phase::lingering, core::runtime_clock::now());
}

void connection_table::set_phase(std::uint64_t number, connection_phase phase,
    std::optional<core::time_point> since)
{
    this->connections.update(number, [=](const std::optional<entry>& current) {
        return current ? std::optional(entry{
                   current->connection, phase, since.value_or(current->since) })
                       : std::nullopt;
    });
}

std::size_t connection_table::count_served() const
{
    const auto all = this->connections.entries();
    const auto count
        = std::count_if(all.begin(), all.end(), [](const auto& each) {
              const entry& open = each.second;
              return !open.connection->is_over_limit
                  && open.phase != connection_phase::lingering
                  && open.phase != connection_phase::leaving;
          });
    return static_cast<std::size_t>(count);
}

bool connection_table::evict(scarce_resource scarce, std::uint64_t number,
    core::duration min_time, std::size_t count)
{
    // All connections are compared each time.
    constexpr core::milliseconds min_interval{ 5 };
    const auto now = core::runtime_clock::now();
    auto& last_eviction
        = this->last_evictions.at(static_cast<std::size_t>(scarce));
    if (now - last_eviction.load() < min_interval)
    {
        return false;
    }
    last_eviction = now;
    const auto all = this->connections.entries();
    std::vector<connection_state> open;
    open.reserve(all.size());
    for (const auto& [each, state] : all)
    {
        open.push_back(connection_state::make(each, state.phase, state.since));
    }
    const auto chosen = choose_evictions(
        std::move(open), scarce, number, now, min_time, count);
    std::size_t evicted = 0;
    for (const std::uint64_t each : chosen)
    {
        const auto seen = std::find_if(all.begin(), all.end(),
            [each](const auto& entry) { return entry.first == each; });
        evicted += this->begin_leaving(each, seen->second) ? 1 : 0;
    }
    return evicted > 0;
}

bool connection_table::begin_leaving(std::uint64_t number, const entry& seen)
{
    bool is_unchanged = false;
    this->connections.update(number, [&](const std::optional<entry>& current) {
        is_unchanged = current && current->phase == seen.phase
            && current->since == seen.since;
        return is_unchanged ? std::optional(entry{ seen.connection,
                   connection_phase::leaving, core::runtime_clock::now() })
                            : current;
    });
    if (is_unchanged)
    {
        asio::post(seen.connection->socket.get_executor(),
            [this, number, connection = seen.connection] {
                // Its next request may have been served meanwhile.
                const auto current = this->connections.find(number);
                if (current && current->phase == connection_phase::leaving)
                {
                    connection->evict();
                }
            });
    }
    return is_unchanged;
}

void connection_table::begin_drain()
{
    // A connection that becomes idle after the flag is set reads it; one that
    // was idle before is in the entries.
    this->draining.store(true);
    for (const auto& [number, each] : this->connections.entries())
    {
        asio::post(each.connection->socket.get_executor(),
            [connection = each.connection] { connection->end_idle_wait(); });
    }
}

std::size_t connection_table::in_flight() const
{
    const auto all = this->connections.entries();
    const auto count = std::count_if(all.begin(), all.end(),
        [](const auto& each) { return is_in_flight(each.second.phase); });
    return static_cast<std::size_t>(count);
}

void connection_table::notify_if_empty()
{
    if (!this->is_draining() || this->connections.size() > 0)
    {
        return;
    }
    for (const auto& [number, timer] : this->idle_waiters.entries())
    {
        // Posted to the waiter's strand, so that the cancellation runs after
        // async_wait() has started.
        asio::post(timer->get_executor(), [timer = timer] { timer->cancel(); });
    }
}

asio::awaitable<bool> connection_table::wait_until_idle(core::time_point limit)
{
    co_return co_await asio::co_spawn(asio::make_strand(this->context),
        this->wait_on_strand(limit), asio::use_awaitable);
}

asio::awaitable<bool> connection_table::wait_on_strand(core::time_point limit)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto timer = std::make_shared<core::runtime_timer>(executor, limit);
    const std::uint64_t number = ++this->last_number;
    this->idle_waiters.store(number, timer);
    while (this->connections.size() > 0 && core::runtime_clock::now() < limit)
    {
        boost::system::error_code ignored;
        co_await timer->async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->idle_waiters.erase(number);
    co_return this->in_flight() == 0;
}

std::size_t connection_table::close_all()
{
    std::size_t interrupted_requests = 0;
    for (const auto& [number, each] : this->connections.entries())
    {
        interrupted_requests += is_in_flight(each.phase) ? 1 : 0;
        asio::post(each.connection->socket.get_executor(),
            [connection = each.connection] { connection->close(); });
    }
    return interrupted_requests;
}

} // namespace pollenward::caller
