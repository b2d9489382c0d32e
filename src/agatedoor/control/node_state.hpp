#pragma once

#include "agatedoor/membership/fleet_view.hpp"
#include "agatedoor/membership/local_backends.hpp"
#include "agatedoor/proxy/edge_headers.hpp"
#include "agatedoor/release/bundle_controller.hpp"
#include "agatedoor/state/path_delays.hpp"
#include "agatedoor/state/settings.hpp"
#include "agatedoor/state/snapshot.hpp"

#include <atomic>

/// @brief What all threads of a node share.
namespace agatedoor {

/// @brief Incarnation of this node; it grows while the process runs when the fleet knows a greater one of it.
struct SharedIncarnation
{
    SharedIncarnation &operator=(Incarnation incarnation)
    {
        value.store(incarnation.value);
        return *this;
    }

    std::atomic<std::uint64_t> value{0};
};

/// @brief Controllers publish here; request threads read snapshots and atomics.
struct NodeState
{
    NodeState(Settings nodeSettings, EdgeHeaders edgeHeaders, BundleController::Parser parser)
        : settings(std::move(nodeSettings))
        , edge(std::move(edgeHeaders))
        , bundles(std::move(parser))
    {
    }

    const Settings settings; ///< Those of the start; a changed file takes effect at the next one.
    const EdgeHeaders edge;
    SharedIncarnation incarnation;
    BundleController bundles;
    LocalBackendController localBackends;
    Snapshot<FleetView> fleet;
    PathDelays pathDelays;
    std::atomic<bool> stopping{false}; ///< Callers are asked to go elsewhere.
    std::atomic<bool> leaving{false}; ///< The fleet is told, and other nodes' requests are refused.
    std::atomic<bool> closing{false}; ///< Callers' requests are refused too. Read after a request is counted as in progress.
    std::atomic<TimePoint> finishBy{TimePoint::max()}; ///< End of a stop that callers were told of; what may last longer is refused.
    std::atomic<std::int64_t> inFlight{0}; ///< Requests in progress on this node, of callers and of other nodes.
    std::atomic<std::int64_t> bodyBytes{0}; ///< Memory reserved for request bodies.
};

} // namespace agatedoor
