#include "operators/event.hpp"

#include "operators/event_log.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace pollenward::operators {

event event::with(std::string_view key, double value) const
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", value);
    return this->with(key, std::string_view(text.data()));
}

event event::with(std::string_view key, core::duration value) const
{
    return this->with(
        key, std::chrono::duration_cast<core::milliseconds>(value).count());
}

void event::append(std::string_view key, std::string_view value)
{
    this->fields += ' ';
    this->fields += key;
    this->fields += '=';
    const bool is_plain = !value.empty()
        && std::none_of(value.begin(), value.end(), [](char each) {
               return each <= ' ' || each > '~' || each == '"' || each == '\\';
           });
    if (is_plain)
    {
        this->fields += value;
        return;
    }
    this->fields += '"';
    for (const char each : value)
    {
        const bool is_escaped = each == '"' || each == '\\';
        this->fields += is_escaped ? "\\" : "";
        this->fields += each < ' ' || each > '~' ? '?' : each;
    }
    this->fields += '"';
}

void write(const event& written)
{
    event_log::instance().write(written, core::runtime_clock::now());
}

} // namespace pollenward::operators
