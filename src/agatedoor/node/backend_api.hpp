#pragma once

#include "agatedoor/control/node_state.hpp"
#include "agatedoor/wire/http_service.hpp"

/// @brief HTTP API through which the backend servers of this VM announce themselves, drain and withdraw.
namespace agatedoor {

/// @brief Handler for `PUT`, `GET` and `DELETE /v1/backends/ID` and `POST /v1/backends/ID/drain`.
HttpHandler makeBackendApi(NodeState &node);

} // namespace agatedoor
