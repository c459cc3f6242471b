#include "main/stop_time.hpp"

#include <csignal>

namespace pollenward::main {

stop_time::stop_time()
    : signals(this->context, SIGINT, SIGTERM)
{
    this->signals.async_wait(
        [this](const boost::system::error_code& failure, int /*number*/) {
            if (!failure)
            {
                const std::lock_guard lock(this->mutex);
                this->arrived = core::runtime_clock::now();
            }
        });
    this->waiting = std::jthread([this] { this->context.run(); });
}

stop_time::~stop_time()
{
    this->context.stop();
}

std::optional<core::time_point> stop_time::get() const
{
    const std::lock_guard lock(this->mutex);
    return this->arrived;
}

} // namespace pollenward::main
