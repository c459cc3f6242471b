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

/// The objects of the store. Used by one thread only.
class stored_objects {
public:
    std::optional<object> find(const std::string& name) const;

    /// Writes the object if its version is `expected`, which is 0 for a new
    /// object. Returns whether it was written.
    bool put(const std::string& name, std::uint64_t expected,
        const std::string& value);

    /// Adds a version with the same value, which simulates another writer.
    void touch(const std::string& name);

    /// Rises with each restored snapshot.
    std::uint64_t get_era() const { return this->era; }
    std::uint64_t get_revision() const { return this->revision; }
    std::vector<object> changed_since(std::uint64_t revision) const;

    void take_snapshot();
    /// Restores the snapshot with its versions and revision. Returns false if
    /// none was taken.
    bool restore_snapshot();

private:
    std::map<std::string, object> objects;
    std::uint64_t era = 1;
    std::uint64_t revision = 0;
    std::optional<std::map<std::string, object>> saved;
    std::uint64_t saved_revision = 0;
};

} // namespace platform_stand_in
