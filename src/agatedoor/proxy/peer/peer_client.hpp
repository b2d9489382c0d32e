#pragma once

#include "agatedoor/membership/fleet_view.hpp"
#include "agatedoor/proxy/attempt.hpp"
#include "agatedoor/proxy/backend/backend_admission.hpp"

/// @brief Client side of the protocol between nodes: forwards a request to the node that owns the chosen backend server.
///
/// A request that isn't idempotent is sent in two steps. The offer is its header with Expect: 100-continue. When the
/// owning node accepts, the body commits the request; it is chunked, so at least the chunk terminator follows the offer.
/// Until the first byte after the offer is sent, the request certainly did not run.
/// An idempotent request is offered only over a reused connection that was not verified recently, or when it is a retry
/// or hedge: the response to the offer then shows that the connection is alive. Otherwise it is sent in one step.
namespace agatedoor {

/// @brief Connections that an attempt may use.
enum class ConnectionChoice {
    Any, ///< An idle one, or a new one if there is none.
    Fresh, ///< Only a new one.
};

/// @brief Makes one attempt on a backend server of another node. When a reused connection turns out to be dead, the request
/// is sent once more to the same node over a new one, provided that it was not committed, or is idempotent and the
/// connection was lost.
/// @param idempotent allows sending the whole request without an offer
asio::awaitable<AttemptResult> forwardToPeer(Worker &worker, const BackendEntry &entry, const BackendRequest &request, const StringRequest &message,
                                             bool idempotent, ConnectionChoice choice);

} // namespace agatedoor
