#pragma once

#include "core/error.hpp"
#include "core/runtime_clock.hpp"
#include "core/store_revision.hpp"
#include "main/store_figures.hpp"
#include "operators/event.hpp"

namespace pollenward::main {

/// `line` with the era and the number of a revision.
operators::event with_revision(
    const operators::event& line, core::store_revision revision);

/// Logs that the store does not reply, replies again, or does not state its
/// era. `kind` is "configuration" or "workers".
void write_lost(const char* kind, const core::error& cause);
void write_regained(const char* kind);
void write_era_unstated(const char* kind);

/// Counts and logs that another daemon's copy, of a later era, was taken.
store_figures note_merged_era(const store_figures& counted, const char* kind,
    core::store_revision from, core::store_revision to);

/// Counts and logs that everything was listed again.
store_figures note_listed_era(const store_figures& counted, const char* kind,
    core::store_revision from, core::store_revision to,
    core::duration reread_time);

} // namespace pollenward::main
