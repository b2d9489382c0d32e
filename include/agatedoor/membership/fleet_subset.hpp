#pragma once

#include "agatedoor/membership/fleet_view.hpp"

#include <cstdint>

/// @brief Limits a fleet view to the subset of backend servers that one node connects to.
namespace agatedoor {

/// @brief Reduces every service in @p view to the subset for @p node, given that @p nodes nodes share the backend servers.
void applySubsets(FleetView &view, const NodeId &node, std::int64_t nodes);

} // namespace agatedoor
