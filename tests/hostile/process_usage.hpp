#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <sys/types.h>

namespace pollenward::hostile {

/// What the kernel reports of a running process.
class process_usage {
public:
    /// Nothing if the process has ended.
    static std::optional<process_usage> create(pid_t pid);

    process_usage() = default;

    /// The largest resident memory so far (VmHWM).
    std::size_t get_peak_bytes() const { return this->peak_bytes; }
    std::size_t get_descriptors() const { return this->descriptors; }

    /// The larger value of each.
    process_usage with_larger_of(const process_usage& other) const;

    auto operator<=>(const process_usage&) const = default;

private:
    std::size_t peak_bytes = 0;
    std::size_t descriptors = 0;
};

} // namespace pollenward::hostile
