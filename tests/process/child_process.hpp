#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace pollenward::test {

/// A program of this project, started by a test. The destructor kills it.
class child_process {
public:
    /// Starts a program of the build folder; its output goes to `log_file`.
    static std::optional<child_process> start(const std::string& program,
        const std::vector<std::string>& arguments, const std::string& log_file);

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    void send_signal(int signal) const;
    pid_t get_pid() const { return this->pid; }

    /// Waits for the process to end. Returns its exit code, or 128 + the number
    /// of the signal that ended it.
    int wait();

    /// The same if the process has ended; nothing if it still runs.
    std::optional<int> poll();

private:
    static int to_exit_code(int status);

    explicit child_process(pid_t pid)
        : pid(pid)
    {
    }

    pid_t pid = -1;
};

} // namespace pollenward::test
