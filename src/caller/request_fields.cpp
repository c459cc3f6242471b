#include "caller/request_fields.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>

namespace pollenward::caller {

namespace {

    bool is_visible(char character)
    {
        return character > ' ' && character < '\x7f';
    }

    bool is_visible_text(std::string_view text, std::size_t max_length)
    {
        return text.size() <= max_length
            && std::all_of(text.begin(), text.end(), is_visible);
    }

    std::mt19937_64 seeded_generator()
    {
        std::random_device device;
        std::seed_seq seed{ device(), device(), device(), device() };
        return std::mt19937_64(seed);
    }

} // namespace

std::optional<core::request_id> parse_request_id(
    std::string_view text, core::error& reason)
{
    if (text.empty() || !is_visible_text(text, max_request_id_length))
    {
        reason = core::error::make("check Request-Id", "caller",
            "is not 1 to 128 visible ASCII characters");
        return std::nullopt;
    }
    return core::request_id(std::string(text));
}

core::request_id generate_request_id()
{
    thread_local std::mt19937_64 generator = seeded_generator();
    std::array<char, 33> text{};
    const auto high = static_cast<unsigned long long>(generator());
    const auto low = static_cast<unsigned long long>(generator());
    std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
    return core::request_id(text.data());
}

std::optional<core::account_id> parse_account(
    std::string_view text, core::error& reason)
{
    if (!is_visible_text(text, max_account_length))
    {
        reason = core::error::make("check Client-Account", "caller",
            "is not at most 128 visible ASCII characters");
        return std::nullopt;
    }
    return core::account_id(text.empty() ? "anonymous" : std::string(text));
}

std::optional<core::milliseconds> parse_timeout(std::string_view text,
    const operators::kind_settings& kind, core::milliseconds max_timeout,
    core::error& reason)
{
    if (text.empty())
    {
        return std::min(kind.get_timeout(), max_timeout);
    }
    std::int64_t count = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, count);
    if (parsed.ec != std::errc() || parsed.ptr != end || count < 1)
    {
        reason = core::error::make("check Request-Timeout-Ms", "caller",
            "is not a positive number of milliseconds");
        return std::nullopt;
    }
    return std::min(core::milliseconds(count), max_timeout);
}

} // namespace pollenward::caller
