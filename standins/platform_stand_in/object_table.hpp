#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace platform_stand_in {

/// One object of the store.
struct object {
    std::string name;
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    std::string value;
};

/// The objects of the store. Used from one thread.
class store_state {
public:
    std::optional<object> find(const std::string& name) const;

    /// Writes if the object's version is `expected`; returns whether it did.
    bool put(const std::string& name, std::uint64_t expected,
        const std::string& value);

    /// Adds a version with the same value, as another writer would.
    void touch(const std::string& name);

    std::uint64_t get_revision() const { return this->revision; }
    std::vector<object> changed_since(std::uint64_t revision) const;

    void take_snapshot();
    /// Returns to the snapshot, versions and revision included; false if none
    /// was taken.
    bool restore_snapshot();

private:
    std::map<std::string, object> objects;
    std::uint64_t revision = 0;
    std::optional<std::map<std::string, object>> saved;
    std::uint64_t saved_revision = 0;
};

} // namespace platform_stand_in
