#pragma once

namespace pollenward::main {

/// Exit codes of the daemon and of the operators' tool.
enum class exit_code : int {
    success = 0,
    failure = 1,
    bad_usage = 2,
    refused = 3,
    unknown_outcome = 4
};

constexpr int to_int(exit_code code)
{
    return static_cast<int>(code);
}

} // namespace pollenward::main
