#pragma once

#include "agatedoor/membership/local_backends.hpp"

/// @brief Applies and logs departures of backend servers that were acknowledged elsewhere.
namespace agatedoor {

/// @brief Applies @p departures that an earlier process of this node, or another node, acknowledged, and logs each one that was new here.
void adoptDepartures(LocalBackendController &backends, const std::vector<Departure> &departures, TimePoint now);

} // namespace agatedoor
