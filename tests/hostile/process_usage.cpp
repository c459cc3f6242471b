#include "hostile/process_usage.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace pollenward::hostile {

std::optional<process_usage> process_usage::create(pid_t pid)
{
    constexpr std::size_t bytes_per_kilobyte = 1024;
    const std::filesystem::path folder = "/proc/" + std::to_string(pid);
    process_usage made;
    std::ifstream status(folder / "status");
    for (std::string field; status >> field;)
    {
        if (field == "VmHWM:" && status >> made.peak_bytes)
        {
            made.peak_bytes *= bytes_per_kilobyte;
        }
    }
    std::error_code failure;
    const std::filesystem::directory_iterator open(folder / "fd", failure);
    // A process that has ended and is not collected yet has no memory.
    if (failure || made.peak_bytes == 0)
    {
        return std::nullopt;
    }
    made.descriptors
        = static_cast<std::size_t>(std::distance(begin(open), end(open)));
    return made;
}

process_usage process_usage::with_larger_of(const process_usage& other) const
{
    process_usage made;
    made.peak_bytes = std::max(this->peak_bytes, other.peak_bytes);
    made.descriptors = std::max(this->descriptors, other.descriptors);
    return made;
}

} // namespace pollenward::hostile
