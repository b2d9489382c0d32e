#pragma once

#include "agatedoor/control/fleet_stats.hpp"
#include "agatedoor/proxy/worker.hpp"
#include "agatedoor/wire/http_service.hpp"

#include <memory>
#include <vector>

/// @brief HTTP API for operators: readiness, metrics and a dump of the node's state.
namespace agatedoor {

/// @brief Handler for `GET /ready`, `GET /metrics` and `GET /dump`.
HttpHandler makeAdminApi(NodeState &node, const std::vector<std::unique_ptr<Worker>> &workers, FleetStatsReader readFleetStats);

} // namespace agatedoor
