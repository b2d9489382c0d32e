#pragma once

#include "agatedoor/state/head_confirmation.hpp"

/// @brief Logs which availability zones are evacuated.
namespace agatedoor {

/// @brief Logs that other zones are evacuated than before, as @p from told it.
/// @param age time since the store confirmed it
void logEvacuations(const EvacuatedZones &zones, const NodeId &from, Duration age);

} // namespace agatedoor
