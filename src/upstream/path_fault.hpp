#pragma once

#include "upstream/source_evidence.hpp"
#include "upstream/worker.hpp"

#include <vector>

namespace pollenward::upstream {

/// Excludes the sources whose requests fail on most of the workers they use:
/// the fault is then in the source or on its path. A source that uses only one
/// worker is kept.
std::vector<source_evidence> without_faulty_sources(
    const std::vector<source_evidence>& sources);

/// Sums the evidence per zone, sorted by zone.
std::vector<source_evidence> sum_by_zone(
    const std::vector<source_evidence>& sources);

/// Removes a zone's evidence on all workers of another zone if its requests
/// fail on most of them while some third zone reaches those workers: the fault
/// is then on the path between the two zones. `zones` has one element per zone.
std::vector<source_evidence> without_faulty_zone_paths(
    const std::vector<source_evidence>& zones,
    const std::vector<worker>& workers);

} // namespace pollenward::upstream
