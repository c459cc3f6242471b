#pragma once

#include "fleet/message.hpp"

#include <array>
#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace pollenward::fleet {

/// Messages and bytes of one message type since the start.
class traffic_count {
public:
    static traffic_count make(std::uint64_t messages, std::uint64_t bytes)
    {
        traffic_count made;
        made.messages = messages;
        made.bytes = bytes;
        return made;
    }

    std::uint64_t get_messages() const { return this->messages; }
    std::uint64_t get_bytes() const { return this->bytes; }

    auto operator<=>(const traffic_count&) const = default;

private:
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Counts by message type, in the order of message_type_names.
using traffic_counts = std::array<traffic_count, std::variant_size_v<message>>;

/// Counters of one direction. Thread safe.
class traffic_counter {
public:
    void add(std::size_t type, std::size_t bytes)
    {
        this->messages[type].fetch_add(1, std::memory_order_relaxed);
        this->bytes[type].fetch_add(bytes, std::memory_order_relaxed);
    }

    traffic_counts read() const
    {
        traffic_counts counts;
        for (std::size_t type = 0; type < counts.size(); ++type)
        {
            counts[type] = traffic_count::make(
                this->messages[type].load(), this->bytes[type].load());
        }
        return counts;
    }

private:
    static constexpr std::size_t types = std::variant_size_v<message>;

    std::array<std::atomic<std::uint64_t>, types> messages{};
    std::array<std::atomic<std::uint64_t>, types> bytes{};
};

} // namespace pollenward::fleet
