#include "behaviour.hpp"

#include <nlohmann/json.hpp>

namespace pollenward::worker_stand_in {

core::milliseconds behaviour::get_service_time() const
{
    return core::milliseconds(
        static_cast<int>(this->service_ms * this->slow_factor));
}

std::optional<behaviour> behaviour::with_json(
    std::string_view text, core::error& reason) const
{
    behaviour next = *this;
    const auto set = [&](const std::string& name, const nlohmann::json& value) {
        const auto read = [&](const char* known, auto& field) {
            if (name != known)
            {
                return false;
            }
            value.get_to(field);
            return true;
        };
        return read("slots", next.slots) || read("queue", next.queue)
            || read("service_ms", next.service_ms)
            || read("slow_factor", next.slow_factor)
            || read("cold_start_ms", next.cold_start_ms)
            || read("late_ms", next.late_ms)
            || read("fail_share", next.fail_share)
            || read("flap_ms", next.flap_ms) || read("hang", next.hang)
            || read("crash_text", next.crash_text)
            || read("healthy", next.healthy)
            || read("report_lag_ms", next.report_lag_ms)
            || read("load_report", next.load_report)
            || read("draining", next.draining);
    };
    try
    {
        const auto changes = nlohmann::json::parse(text);
        for (const auto& [name, value] : changes.items())
        {
            if (!set(name, value))
            {
                reason = core::error::make(
                    "read behaviour", "self", "unknown field " + name);
                return std::nullopt;
            }
        }
    }
    catch (const nlohmann::json::exception& fault)
    {
        reason = core::error::make("read behaviour", "self", fault.what());
        return std::nullopt;
    }
    return next;
}

} // namespace pollenward::worker_stand_in
