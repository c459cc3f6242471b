#pragma once

#include "core/ids.hpp"
#include "upstream/verdict.hpp"

#include <compare>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// An aggregator's verdicts on a service, sent to the daemons of its zone as
/// soon as a worker is ejected: their next reports may be half a second away.
class verdict_notice {
public:
    static verdict_notice make(
        core::service_id service, std::vector<upstream::verdict> verdicts)
    {
        verdict_notice made;
        made.service = std::move(service);
        made.verdicts = std::move(verdicts);
        return made;
    }

    const core::service_id& get_service() const { return this->service; }

    const std::vector<upstream::verdict>& get_verdicts() const
    {
        return this->verdicts;
    }

    auto operator<=>(const verdict_notice&) const = default;

private:
    core::service_id service;
    std::vector<upstream::verdict> verdicts;
};

} // namespace pollenward::fleet
