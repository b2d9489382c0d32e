#pragma once

#include "agatedoor/control/departure_sync.hpp"
#include "agatedoor/wire/http_service.hpp"

/// @brief HTTP API through which the backend servers of this VM announce themselves, drain and withdraw.
namespace agatedoor {

/// @brief Handler for `PUT`, `GET` and `DELETE /v1/backends/ID` and `POST /v1/backends/ID/drain`. A departure is acted on at once, and acknowledged
/// when @p departures has recorded it.
HttpHandler makeBackendApi(NodeState &node, DepartureSync &departures);

} // namespace agatedoor
