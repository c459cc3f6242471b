#include "operators/event_log.hpp"

#include <easylogging++.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>

namespace pollenward::operators {

namespace {

    /// Unix time in seconds with milliseconds. It is taken from the wall clock,
    /// as the lines of several daemons are ordered by it.
    std::string time_stamp()
    {
        const auto now = std::chrono::duration_cast<core::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%lld.%03lld",
            static_cast<long long>(now.count() / 1000),
            static_cast<long long>(now.count() % 1000));
        return text.data();
    }

    /// Forwards the messages of easylogging++ to the log.
    class easylogging_callback : public el::LogDispatchCallback {
    protected:
        void handle(const el::LogDispatchData* data) noexcept override
        {
            event_log::instance().write_line(
                event::make("message")
                    .with("text", data->logMessage()->message())
                    .str());
        }
    };

} // namespace

event_log& event_log::instance()
{
    static event_log only;
    return only;
}

void event_log::open(std::string daemon_name)
{
    this->daemon = std::move(daemon_name);
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
    {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    el::Helpers::uninstallLogDispatchCallback<
        el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<easylogging_callback>("event_log");
    this->is_open = true;
}

bool event_log::write(const event& written, core::time_point now)
{
    if (!this->is_open)
    {
        return false;
    }
    std::optional<std::uint64_t> suppressed_count;
    this->limiters.visit(
        written.get_name(),
        [] { return log_rate_limiter::make(lines_per_second, line_burst); },
        [&](log_rate_limiter& mine) {
            mine = mine.refilled_at(now);
            if (mine.allows_line())
            {
                suppressed_count = mine.get_suppressed_count();
                mine = mine.with_written_line();
            }
            else
            {
                mine = mine.with_suppressed_line();
            }
        });
    if (!suppressed_count)
    {
        return false;
    }
    return this->write_line(*suppressed_count == 0
            ? written.str()
            : written.with("left_out", *suppressed_count).str());
}

bool event_log::write_line(std::string_view line)
{
    std::string text = time_stamp() + " daemon=" + this->daemon + " ";
    text += line;
    text += '\n';
    const auto count = ::write(STDOUT_FILENO, text.data(), text.size());
    const bool is_written = count == static_cast<ssize_t>(text.size());
    this->dropped += is_written ? 0 : 1;
    return is_written;
}

} // namespace pollenward::operators
