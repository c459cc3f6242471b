#pragma once

#include "core/error.hpp"
#include "operators/configuration.hpp"
#include "operators/configuration_part.hpp"

#include <map>
#include <optional>
#include <vector>

namespace pollenward::operators {

/// Assembles a version from the one in force and the parts of a transfer.
class configuration_assembly {
public:
    /// Without a `base`, all kinds are requested.
    static configuration_assembly make(std::optional<configuration> base);

    /// Asks for the next part.
    const configuration_request& get_next() const { return this->next; }

    /// Adds a part that get_next() asked for. The sender may have started
    /// again with all kinds.
    void add(const configuration_part& received);

    bool is_complete() const { return this->general.has_value(); }

    /// The version, or nothing with the reasons if it is not valid.
    std::optional<configuration> finish(
        std::vector<core::error>& reasons) const;

private:
    std::optional<configuration> base;
    configuration_request next;
    std::map<core::kind_id, kind_entry> changed;
    std::optional<configuration> general;
    std::size_t kind_count = 0;
};

} // namespace pollenward::operators
