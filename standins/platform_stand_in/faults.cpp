#include "faults.hpp"

#include <nlohmann/json.hpp>

namespace platform_stand_in {

namespace {

    using nlohmann::json;

    bool read_flag(const json& value, bool& target)
    {
        target = value.is_boolean() && value.get<bool>();
        return value.is_boolean();
    }

    bool read_count(const json& value, std::uint64_t& target)
    {
        target = value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
        return value.is_number_unsigned();
    }

    bool read_field(
        const std::string& key, const json& value, control_command& target)
    {
        faults& wanted_faults = target.wanted_faults;
        if (key == "delay_ms")
        {
            std::uint64_t delay = 0;
            const bool is_valid = read_count(value, delay);
            wanted_faults.delay = std::chrono::milliseconds(delay);
            return is_valid;
        }
        return key == "outage"  ? read_flag(value, wanted_faults.has_outage)
            : key == "one_way"  ? read_flag(value, wanted_faults.is_one_way)
            : key == "snapshot" ? read_flag(value, target.takes_snapshot)
            : key == "restore"  ? read_flag(value, target.restores_snapshot)
            : key == "lose_responses"
            ? read_count(value, wanted_faults.lost_responses)
            : key == "racing_writes"
            ? read_count(value, wanted_faults.racing_writes)
            : false;
    }

} // namespace

std::optional<control_command> read_control_command(
    const std::string& text, const faults& current)
{
    const json message = json::parse(text, nullptr, false);
    if (!message.is_object())
    {
        return std::nullopt;
    }
    control_command wanted{ current };
    for (const auto& [key, value] : message.items())
    {
        if (!read_field(key, value, wanted))
        {
            return std::nullopt;
        }
    }
    return wanted;
}

} // namespace platform_stand_in
