#include "upstream/connection_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pollenward::upstream {

connection_pool::connection_pool(boost::asio::any_io_executor executor,
    core::duration idle_limit, core::memory_budget bodies)
    : executor(std::move(executor))
    , idle_limit(idle_limit)
    , bodies(std::move(bodies))
{
}

std::optional<connection_lease> connection_pool::acquire(
    const worker& target, int max_connections, core::time_point now)
{
    enum class source { idle, fresh, none };
    const auto& id = target.get_id();
    while (true)
    {
        connection_ptr connection;
        core::time_point idle_since;
        const auto from = this->entries.visit(
            id, [] { return worker_entry(); },
            [&](worker_entry& entry) {
                if (!entry.idle.empty())
                {
                    connection = std::move(entry.idle.back().connection);
                    idle_since = entry.idle.back().idle_since;
                    entry.idle.pop_back();
                    return source::idle;
                }
                if (entry.open >= max_connections)
                {
                    return source::none;
                }
                ++entry.open;
                return source::fresh;
            });
        if (from == source::none)
        {
            return std::nullopt;
        }
        if (from == source::fresh)
        {
            return std::make_optional<connection_lease>(*this, id,
                std::make_shared<worker_connection>(
                    this->executor, target.get_address(), this->bodies),
                false);
        }
        const bool is_usable = now < idle_since + this->idle_limit
            && connection->get_remote() == target.get_address()
            && !connection->has_pending_input();
        if (is_usable)
        {
            return std::make_optional<connection_lease>(
                *this, id, std::move(connection), true);
        }
        this->release(id, nullptr, now);
    }
}

std::optional<connection_lease> connection_pool::acquire_fresh(
    const worker& target, int max_connections)
{
    connection_ptr displaced;
    const bool has_capacity = this->entries.visit(
        target.get_id(), [] { return worker_entry(); },
        [&](worker_entry& entry) {
            if (entry.open < max_connections)
            {
                ++entry.open;
                return true;
            }
            if (entry.idle.empty())
            {
                return false;
            }
            displaced = std::move(entry.idle.front().connection);
            entry.idle.erase(entry.idle.begin());
            return true;
        });
    if (!has_capacity)
    {
        return std::nullopt;
    }
    return std::make_optional<connection_lease>(*this, target.get_id(),
        std::make_shared<worker_connection>(
            this->executor, target.get_address(), this->bodies),
        false);
}

std::vector<connection_pool::idle_connection> connection_pool::remove_idle(
    const core::worker_id& worker_id, core::time_point idle_before)
{
    return this->entries.visit(
        worker_id, [] { return worker_entry(); },
        [&](worker_entry& entry) {
            std::vector<idle_connection> removed;
            const auto first = std::stable_partition(entry.idle.begin(),
                entry.idle.end(), [&](const idle_connection& each) {
                    return each.idle_since > idle_before;
                });
            std::move(first, entry.idle.end(), std::back_inserter(removed));
            entry.idle.erase(first, entry.idle.end());
            entry.open -= static_cast<int>(removed.size());
            return removed;
        });
}

void connection_pool::close_idle(const core::worker_id& worker_id)
{
    this->remove_idle(worker_id, core::time_point::max());
}

void connection_pool::close_expired(core::time_point now)
{
    for (const auto& [worker_id, entry] : this->entries.entries())
    {
        this->remove_idle(worker_id, now - this->idle_limit);
    }
    this->entries.erase_if(
        [](const core::worker_id&, const worker_entry& entry) {
            return entry.open == 0;
        });
}

int connection_pool::count_open(const core::worker_id& worker_id) const
{
    const auto entry = this->entries.find(worker_id);
    return entry ? entry->open : 0;
}

void connection_pool::release(
    const core::worker_id& worker_id, connection_ptr used, core::time_point now)
{
    this->entries.visit(
        worker_id, [] { return worker_entry(); },
        [&](worker_entry& entry) {
            if (used)
            {
                entry.idle.push_back({ std::move(used), now });
            }
            else
            {
                --entry.open;
            }
            return true;
        });
}

connection_lease::connection_lease(connection_pool& pool,
    core::worker_id worker_id, std::shared_ptr<worker_connection> connection,
    bool is_reused)
    : pool(pool)
    , worker_id(std::move(worker_id))
    , connection(std::move(connection))
    , reused(is_reused)
{
}

connection_lease::~connection_lease()
{
    if (!this->connection)
    {
        return;
    }
    if (!this->connection->is_reusable())
    {
        this->connection.reset();
    }
    this->pool.release(this->worker_id, std::move(this->connection),
        core::runtime_clock::now());
}

void connection_lease::replace()
{
    auto remote = this->connection->get_remote();
    this->connection.reset();
    this->connection = std::make_shared<worker_connection>(
        this->pool.executor, std::move(remote), this->pool.bodies);
    this->reused = false;
}

} // namespace pollenward::upstream
