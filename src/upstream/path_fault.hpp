#pragma once

#include "upstream/source_evidence.hpp"
#include "upstream/worker.hpp"

#include <vector>

namespace pollenward::upstream {

/// Leaves out the sources that fail with most of the workers they use: the
/// fault is then with the source or on its path. A source that uses one worker
/// only is kept.
std::vector<source_evidence> without_faulty_sources(
    const std::vector<source_evidence>& sources);

/// Adds up the evidence of each zone; sorted by zone.
std::vector<source_evidence> sum_by_zone(
    const std::vector<source_evidence>& sources);

/// Takes one zone's evidence of all workers in another zone out if it fails
/// with most of them while some third zone reaches those workers: the fault is
/// then on the path between the two zones. `zones` has one element a zone.
std::vector<source_evidence> without_faulty_zone_paths(
    const std::vector<source_evidence>& zones,
    const std::vector<worker>& workers);

} // namespace pollenward::upstream
