#pragma once

#include "core/runtime_clock.hpp"
#include "fleet/crash_notice.hpp"
#include "upstream/request_guard.hpp"

namespace pollenward::main {

/// The record with its times as ages, rounded up to milliseconds.
fleet::crash_history to_history(
    const upstream::named_crash_record& record, core::time_point now);

/// The record of another daemon, with ages counted back from `now`.
upstream::named_crash_record to_record(
    const fleet::crash_history& history, core::time_point now);

} // namespace pollenward::main
