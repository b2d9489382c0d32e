#pragma once

#include "agatedoor/membership/local_backends.hpp"

/// @brief Departures that the fleet remembers, taken over with a log line each.
namespace agatedoor {

/// @brief Binds this node by @p departures that an earlier process of it, or another node, acknowledged.
void adoptDepartures(LocalBackendController &backends, const std::vector<Departure> &departures, TimePoint now);

} // namespace agatedoor
