#pragma once

#include "hostile/ordinary_outcome.hpp"
#include "hostile/process_usage.hpp"

#include <compare>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::hostile {

/// What was seen of a daemon during one run.
class run_result {
public:
    static run_result make(bool is_alive, process_usage usage,
        std::vector<ordinary_outcome> during, ordinary_outcome afterwards)
    {
        run_result made;
        made.alive = is_alive;
        made.usage = usage;
        made.during = std::move(during);
        made.afterwards = std::move(afterwards);
        return made;
    }

    bool is_alive() const { return this->alive; }
    std::size_t get_peak_memory() const { return this->usage.get_peak_bytes(); }
    std::size_t get_descriptors() const
    {
        return this->usage.get_descriptors();
    }
    /// Whether the ordinary callers got a worker's answer beside the crowd.
    bool are_served_during() const
    {
        for (const ordinary_outcome& each : this->during)
        {
            if (!each.is_served())
            {
                return false;
            }
        }
        return !this->during.empty();
    }
    bool is_served_afterwards() const { return this->afterwards.is_served(); }

    std::string to_text() const
    {
        std::string text = std::string(this->alive ? "alive" : "ended")
            + ", peak memory " + std::to_string(this->get_peak_memory() >> 10)
            + " KB, descriptors " + std::to_string(this->get_descriptors());
        for (const ordinary_outcome& each : this->during)
        {
            text += ", during: " + each.to_text();
        }
        return text + ", afterwards: " + this->afterwards.to_text();
    }

    auto operator<=>(const run_result&) const = default;

private:
    bool alive = false;
    process_usage usage;
    std::vector<ordinary_outcome> during;
    ordinary_outcome afterwards;
};

} // namespace pollenward::hostile
