#pragma once

#include "soak/daemon_process.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <string>

namespace pollenward::soak {

/// Gives each daemon a share of a core as a quota: in each tenth of a second
/// the process runs until its quota is used up, then stands still for the rest.
class processor_limit {
public:
    processor_limit(boost::asio::io_context& context,
        std::deque<daemon_process>& daemons, double share)
        : context(context)
        , daemons(daemons)
        , share(share)
    {
    }

    /// Limits the daemons from now on, if their share is below a whole core.
    void start();
    bool is_limiting() const { return this->share < 1; }

    /// Divides the share of one daemon.
    void set_slowdown(const std::string& daemon, double factor)
    {
        this->slowdowns[daemon] = factor;
    }

private:
    boost::asio::awaitable<void> limit(daemon_process& daemon);
    /// The processor time of a daemon in one period.
    seconds get_quota(const std::string& daemon) const;

    boost::asio::io_context& context;
    std::deque<daemon_process>& daemons;
    double share;
    std::map<std::string, double> slowdowns;
};

} // namespace pollenward::soak
