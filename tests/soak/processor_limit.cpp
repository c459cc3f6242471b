#include "soak/processor_limit.hpp"

#include <boost/asio/co_spawn.hpp>

namespace pollenward::soak {

namespace {

    constexpr seconds period{ 0.1 };

} // namespace

void processor_limit::start()
{
    if (!this->is_limiting())
    {
        return;
    }
    for (daemon_process& each : this->daemons)
    {
        boost::asio::co_spawn(
            this->context, this->limit(each), rethrow_failure);
    }
}

seconds processor_limit::get_quota(const std::string& daemon) const
{
    const auto found = this->slowdowns.find(daemon);
    const double factor = found == this->slowdowns.end() ? 1 : found->second;
    return this->share * period / factor;
}

boost::asio::awaitable<void> processor_limit::limit(daemon_process& daemon)
{
    constexpr seconds check_interval{ 0.002 };
    /// What the process has used beyond its quotas.
    seconds debt{};
    int incarnation = 0;
    while (true)
    {
        const seconds period_end = now() + period;
        if (daemon.get_incarnation() != incarnation)
        {
            incarnation = daemon.get_incarnation();
            debt = seconds{};
        }
        const seconds quota = this->get_quota(daemon.get_name()) - debt;
        const seconds before = daemon.get_processor_time();
        if (quota > seconds{})
        {
            daemon.set_paused(false);
        }
        seconds used{};
        while (now() < period_end && used < quota)
        {
            co_await sleep_for(check_interval);
            used = daemon.get_incarnation() == incarnation
                ? daemon.get_processor_time() - before
                : seconds{};
        }
        if (used >= quota)
        {
            daemon.set_paused(true);
            co_await sleep_until(period_end);
        }
        debt = std::max(used - quota, seconds{});
    }
}

} // namespace pollenward::soak
