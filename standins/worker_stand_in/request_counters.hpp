#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pollenward::worker_stand_in {

/// What happened to the requests that reached the stand-in.
class run_log {
public:
    void count_run(const std::string& id) { ++this->runs[id]; }
    void count_shed() { ++this->shed; }
    void count_refused() { ++this->refused; }
    void count_expired() { ++this->expired; }
    void count_cancelled() { ++this->cancelled; }

    /// {"runs": {id: times}, "shed": n, "refused": n, "expired": n,
    /// "cancelled": n}
    std::string to_json() const;

private:
    std::map<std::string, int> runs;
    std::uint64_t shed = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0;
    std::uint64_t cancelled = 0;
};

} // namespace pollenward::worker_stand_in
