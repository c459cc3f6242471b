#pragma once

#include <atomic>

namespace pollenward::main {

/// Whether this daemon is one of those of its zone that read from the store.
class store_reader_role {
public:
    /// True until the zone's reading daemons have been selected.
    bool is_reader() const { return this->reader.load(); }
    void set_reader(bool is_reader) { this->reader = is_reader; }

private:
    std::atomic<bool> reader{ true };
};

} // namespace pollenward::main
