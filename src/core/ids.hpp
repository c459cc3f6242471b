#pragma once

#include "core/typed_id.hpp"

namespace pollenward::core {

/// One process of the proxy daemon.
using daemon_id = typed_id<struct daemon_tag>;
/// One upstream process.
using worker_id = typed_id<struct worker_tag>;
/// A group of workers that answer the same kinds of request.
using service_id = typed_id<struct service_tag>;
/// A kind of request that a service accepts.
using kind_id = typed_id<struct kind_tag>;
/// An availability zone.
using zone_id = typed_id<struct zone_tag>;
using region_id = typed_id<struct region_tag>;
/// A client account, the unit of fairness between callers.
using account_id = typed_id<struct account_tag>;
/// A request; the id is set by its caller, else by the daemon.
using request_id = typed_id<struct request_tag>;
/// A change of configuration; the id is set by the operators' tool.
using patch_id = typed_id<struct patch_tag>;
/// A versioned object of the platform that daemons send to each other.
using document_name = typed_id<struct document_tag>;

} // namespace pollenward::core
