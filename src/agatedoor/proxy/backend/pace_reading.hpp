#pragma once

#include "backend_admission.hpp"

/// @brief Delays or refuses requests while the VM of their backend server is slow.
namespace agatedoor {

/// @brief Waits until the request may start; Reason::None when it may.
/// Responses of the backend server report the pace. When the last report is too old, the pace is read from the service's
/// health path.
asio::awaitable<Reason> awaitPace(Worker &worker, const Admitted &admitted, const BackendRequest &request);

} // namespace agatedoor
