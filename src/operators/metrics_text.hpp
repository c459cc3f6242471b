#pragma once

#include "operators/metrics_snapshot.hpp"

#include <string>
#include <string_view>

namespace pollenward::operators {

/// Escapes a label value for the Prometheus text format.
std::string escape_label(std::string_view value);

/// Writes metrics in the Prometheus text format, version 0.0.4.
std::string encode_metrics(const metrics_snapshot& snapshot);

} // namespace pollenward::operators
