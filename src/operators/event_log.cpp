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

    /// Unix time in seconds with milliseconds. Lines of several daemons are
    /// put in order by it, so it is the wall clock's.
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

    /// Passes easylogging++'s lines to the log.
    class line_dispatch : public el::LogDispatchCallback {
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
    el::Helpers::installLogDispatchCallback<line_dispatch>("event_log");
    this->is_open = true;
}

bool event_log::write(const event& written, core::time_point now)
{
    if (!this->is_open)
    {
        return false;
    }
    std::optional<std::uint64_t> left_out;
    this->budgets.visit(
        written.get_name(),
        [] { return line_budget::make(lines_per_second, line_burst); },
        [&](line_budget& mine) {
            mine = mine.at(now);
            if (mine.allows_line())
            {
                left_out = mine.get_left_out();
                mine = mine.with_line();
            }
            else
            {
                mine = mine.with_left_out();
            }
        });
    if (!left_out)
    {
        return false;
    }
    return this->write_line(*left_out == 0
            ? written.str()
            : written.with("left_out", *left_out).str());
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
