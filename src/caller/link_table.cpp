#include "caller/link_table.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace pollenward::caller {

namespace asio = boost::asio;

std::uint64_t link_table::add(link_pointer link)
{
    const std::uint64_t number = ++this->last_number;
    this->links.store(number, entry{ std::move(link), false });
    return number;
}

void link_table::remove(std::uint64_t number)
{
    this->links.erase(number);
    this->wake_if_idle();
}

void link_table::begin_request(std::uint64_t number)
{
    this->set_busy(number, true);
}

void link_table::end_request(std::uint64_t number)
{
    this->set_busy(number, false);
    this->wake_if_idle();
}

void link_table::set_busy(std::uint64_t number, bool is_busy)
{
    this->links.update(number, [=](const std::optional<entry>& present) {
        return present ? std::optional(entry{ present->link, is_busy })
                       : std::nullopt;
    });
}

void link_table::begin_drain()
{
    // A connection that becomes idle after this line sees the flag; one that
    // was idle before is in the entries.
    this->draining.store(true);
    for (const auto& [number, each] : this->links.entries())
    {
        asio::post(each.link->socket.get_executor(),
            [link = each.link] { link->close_if_idle(); });
    }
}

std::size_t link_table::in_flight() const
{
    const auto all = this->links.entries();
    const auto count = std::count_if(all.begin(), all.end(),
        [](const auto& each) { return each.second.is_busy; });
    return static_cast<std::size_t>(count);
}

void link_table::wake_if_idle()
{
    if (!this->is_draining() || this->in_flight() > 0)
    {
        return;
    }
    for (const auto& [number, timer] : this->sleepers.entries())
    {
        // Posted to the sleeper's strand, so that it runs after the wait has
        // begun.
        asio::post(timer->get_executor(), [timer = timer] { timer->cancel(); });
    }
}

asio::awaitable<bool> link_table::wait_until_idle(core::time_point limit)
{
    co_return co_await asio::co_spawn(asio::make_strand(this->context),
        this->sleep_until_idle(limit), asio::use_awaitable);
}

asio::awaitable<bool> link_table::sleep_until_idle(core::time_point limit)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto timer = std::make_shared<core::runtime_timer>(executor, limit);
    const std::uint64_t number = ++this->last_number;
    this->sleepers.store(number, timer);
    while (this->in_flight() > 0 && core::runtime_clock::now() < limit)
    {
        boost::system::error_code ignored;
        co_await timer->async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->sleepers.erase(number);
    co_return this->in_flight() == 0;
}

std::size_t link_table::cut()
{
    std::size_t cut_requests = 0;
    for (const auto& [number, each] : this->links.entries())
    {
        cut_requests += each.is_busy ? 1 : 0;
        asio::post(each.link->socket.get_executor(),
            [link = each.link] { link->close(); });
    }
    return cut_requests;
}

} // namespace pollenward::caller
