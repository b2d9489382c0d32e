#pragma once

#include "agatedoor/proxy/worker.hpp"

/// @brief Detects when a backend server that refused connections accepts them again.
namespace agatedoor {

/// @brief Periodically connects to each backend server of this VM that is down, and removes those whose announcements
/// have stopped. Runs forever, on one request thread only.
asio::awaitable<void> probeDownBackends(Worker &worker);

} // namespace agatedoor
