#include "upstream/connection_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pollenward::upstream {

connection_pool::connection_pool(
    boost::asio::any_io_executor executor, core::duration idle_limit)
    : executor(std::move(executor))
    , idle_limit(idle_limit)
{
}

std::optional<connection_lease> connection_pool::acquire(
    const worker& who, int allowance, core::time_point now)
{
    enum class source { idle, fresh, none };
    const auto& id = who.get_id();
    while (true)
    {
        connection held;
        core::time_point idle_since;
        const auto from = this->entries.visit(
            id, [] { return worker_entry(); },
            [&](worker_entry& entry) {
                if (!entry.idle.empty())
                {
                    held = std::move(entry.idle.back().held);
                    idle_since = entry.idle.back().idle_since;
                    entry.idle.pop_back();
                    return source::idle;
                }
                if (entry.open >= allowance)
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
                    this->executor, who.get_address()),
                false);
        }
        const bool is_fit = now < idle_since + this->idle_limit
            && held->get_remote() == who.get_address()
            && !held->has_pending_input();
        if (is_fit)
        {
            return std::make_optional<connection_lease>(
                *this, id, std::move(held), true);
        }
        this->give_back(id, nullptr, now);
    }
}

std::optional<connection_lease> connection_pool::acquire_fresh(
    const worker& who, int allowance)
{
    connection displaced;
    const bool has_place = this->entries.visit(
        who.get_id(), [] { return worker_entry(); },
        [&](worker_entry& entry) {
            if (entry.open < allowance)
            {
                ++entry.open;
                return true;
            }
            if (entry.idle.empty())
            {
                return false;
            }
            displaced = std::move(entry.idle.front().held);
            entry.idle.erase(entry.idle.begin());
            return true;
        });
    if (!has_place)
    {
        return std::nullopt;
    }
    return std::make_optional<connection_lease>(*this, who.get_id(),
        std::make_shared<worker_connection>(this->executor, who.get_address()),
        false);
}

std::vector<connection_pool::idle_connection> connection_pool::take_idle(
    const core::worker_id& who, core::time_point idle_before)
{
    return this->entries.visit(
        who, [] { return worker_entry(); },
        [&](worker_entry& entry) {
            std::vector<idle_connection> taken;
            const auto first = std::stable_partition(entry.idle.begin(),
                entry.idle.end(), [&](const idle_connection& each) {
                    return each.idle_since > idle_before;
                });
            std::move(first, entry.idle.end(), std::back_inserter(taken));
            entry.idle.erase(first, entry.idle.end());
            entry.open -= static_cast<int>(taken.size());
            return taken;
        });
}

void connection_pool::drop_idle(const core::worker_id& who)
{
    this->take_idle(who, core::time_point::max());
}

void connection_pool::close_expired(core::time_point now)
{
    for (const auto& [who, entry] : this->entries.entries())
    {
        this->take_idle(who, now - this->idle_limit);
    }
    this->entries.erase_if(
        [](const core::worker_id&, const worker_entry& entry) {
            return entry.open == 0;
        });
}

int connection_pool::count_open(const core::worker_id& who) const
{
    const auto entry = this->entries.find(who);
    return entry ? entry->open : 0;
}

void connection_pool::give_back(
    const core::worker_id& who, connection used, core::time_point now)
{
    this->entries.visit(
        who, [] { return worker_entry(); },
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

connection_lease::connection_lease(connection_pool& pool, core::worker_id who,
    std::shared_ptr<worker_connection> held, bool is_reused)
    : pool(pool)
    , who(std::move(who))
    , held(std::move(held))
    , reused(is_reused)
{
}

connection_lease::~connection_lease()
{
    if (!this->held)
    {
        return;
    }
    if (!this->held->is_reusable())
    {
        this->held.reset();
    }
    this->pool.give_back(
        this->who, std::move(this->held), core::runtime_clock::now());
}

void connection_lease::replace()
{
    auto remote = this->held->get_remote();
    this->held.reset();
    this->held = std::make_shared<worker_connection>(
        this->pool.executor, std::move(remote));
    this->reused = false;
}

} // namespace pollenward::upstream
