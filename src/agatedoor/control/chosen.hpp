#pragma once

#include "node_state.hpp"
#include "peer_sync.hpp"

#include <string_view>

/// @brief Which nodes of a region take a role on.
namespace agatedoor {

/// @brief Whether rendezvous hashing selects the node of @p settings among the @p count members of its region that take on @p purpose.
/// Stopping members are left out.
bool isChosen(const Settings &settings, const FleetRoster &roster, std::string_view purpose, std::size_t count);

} // namespace agatedoor
