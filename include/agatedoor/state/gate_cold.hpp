#pragma once

#include "agatedoor/state/gate.hpp"

/// @brief The limit of a gate while its backend server is cold.
namespace agatedoor {

/// @brief Records for how long the backend server says that it stays cold.
void recordCold(Gate &gate, Duration left, ColdSource source, TimePoint now);

/// @brief How much longer the backend server stays cold; zero when it is warm.
Duration coldLeft(const Gate &gate, TimePoint now);

/// @brief Takes one request right before it is sent. False when the backend server is cold and bears none now.
bool takeColdRequest(Gate &gate, double requestsPerSecond, TimePoint now);

} // namespace agatedoor
