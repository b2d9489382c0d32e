#pragma once

#include "agatedoor/membership/fleet_view.hpp"
#include "agatedoor/membership/local_backends.hpp"
#include "agatedoor/proxy/edge_headers.hpp"
#include "agatedoor/release/bundle_controller.hpp"
#include "agatedoor/state/answered_requests.hpp"
#include "agatedoor/state/backend_notices.hpp"
#include "agatedoor/state/head_confirmation.hpp"
#include "agatedoor/state/newest_era.hpp"
#include "agatedoor/state/path_delays.hpp"
#include "agatedoor/state/settings.hpp"
#include "agatedoor/state/shared_backend_ends.hpp"
#include "agatedoor/state/shared_quota.hpp"
#include "agatedoor/state/shared_trials.hpp"
#include "agatedoor/state/snapshot.hpp"

#include <atomic>

/// @brief State shared by all threads of a node.
namespace agatedoor {

/// @brief Incarnation of this node. It is raised at run time when the fleet knows a greater one for this node.
struct SharedIncarnation
{
    SharedIncarnation &operator=(Incarnation incarnation)
    {
        value.store(incarnation.value);
        return *this;
    }

    std::atomic<std::uint64_t> value{0};
};

/// @brief Controllers write this state; request threads read its snapshots and atomics, and count requests and body memory.
struct NodeState
{
    NodeState(Settings nodeSettings, EdgeHeaders edgeHeaders, BundleController::Parser parser)
        : settings(std::move(nodeSettings))
        , edge(std::move(edgeHeaders))
        , bundles(std::move(parser))
    {
    }

    const Settings settings; ///< As read at startup; changes to the file take effect at the next start.
    const EdgeHeaders edge;
    SharedIncarnation incarnation;
    BundleController bundles;
    SharedHeadConfirmation headConfirmation; ///< Until when the store has confirmed the bundle in force, by this node's calls or peers' word.
    LocalBackendController localBackends;
    std::atomic<bool> earlierProcessTold{false}; ///< A peer has told what an earlier process of this node had said of itself.
    Snapshot<FleetView> fleet;
    PathDelays pathDelays;
    SharedBackendEnds backendEnds; ///< Unexpected ends of backend servers anywhere, with the requests that were in progress.
    AnsweredRequests answeredRequests; ///< Requests that this node passed an answer on to.
    SharedTrials trials; ///< Of requests that are refused because backend servers ended beside them.
    NewestEra storeEra; ///< Known from the store's own replies or from peers.
    BackendNotices notices; ///< What backend servers anywhere said in the answers that this node passed on.
    SharedQuota quota; ///< Tokens for the requests of customers with a quota.
    std::atomic<bool> stopping{false}; ///< The node is not ready, and callers are asked to connect elsewhere.
    std::atomic<bool> refusingPeers{false}; ///< Peers are told that this node stops, and requests from other nodes are refused.
    /// Requests from callers are refused too. To be read after the request is counted in inFlight, so that a stop either waits for the request
    /// or refuses it.
    std::atomic<bool> refusingCallers{false};
    /// Set when a stop begins: what is accepted from then on is answered by this time, while answers can still be written.
    std::atomic<TimePoint> answerBy{TimePoint::max()};
    /// The same time, set once callers had time to notice the stop; requests that may last longer are refused.
    std::atomic<TimePoint> stopDeadline{TimePoint::max()};
    std::atomic<std::int64_t> inFlight{0}; ///< Requests in progress on this node, from callers and from other nodes.
    std::atomic<std::int64_t> heldAnswerBytes{0}; ///< Bytes of finished responses to callers that are not written yet.
    std::atomic<std::int64_t> largeAnswerBytes{0}; ///< Bytes of large responses that are being read.
    std::atomic<std::int64_t> bodyBytes{0}; ///< Bytes reserved for request bodies.
};

} // namespace agatedoor
