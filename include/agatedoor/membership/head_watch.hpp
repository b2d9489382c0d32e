#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/time.hpp"

#include <cstddef>
#include <optional>

/// @brief Decides how a node learns which bundle is in force: by watching the head record in the store, by one read of its own, or
/// from its peers.
///
/// A few nodes of each region watch. Every other node gets a new bundle from a peer, so calls to the store and bytes between regions
/// grow with the number of regions and not with the fleet.
namespace agatedoor {

/// @brief Limits and delays of the head watch.
struct HeadWatchOptions
{
    /// A node begins to watch when it has been selected for this time, so that brief changes of the fleet cost no calls. Longer than it
    /// takes the whole fleet to start.
    Duration settleTime = std::chrono::seconds(2);
    Duration joinTime = std::chrono::seconds(1); ///< Time that a node without peers has to find some before it depends on the store.
    Duration peerTime = std::chrono::milliseconds(300); ///< Time that peers have to deliver the bundle to a node that has joined without one.
    Duration selfReadInterval = std::chrono::seconds(5); ///< Between own reads of a node whose peers have no bundle either.
};

/// @brief State that a node keeps between rounds.
struct HeadWatchState
{
    TimePoint startedAt;
    Deadline peersDeliverBy; ///< Set when the node joins; from then on it reads the head itself if it has no bundle.
    bool joined = false;
    bool contact = false; ///< The node was a contact in the last round.
    bool watching = false;
    bool wasSelected = false; ///< The node has been selected as a watcher since it joined.
    std::optional<TimePoint> selectedSince; ///< Since when the node has been selected as a watcher.
};

/// @brief Input of one round.
struct HeadWatchView
{
    bool isolated = false; ///< The node knows no other node.
    bool selected = false; ///< By its own view of the fleet, the node is one of its region's watchers.
    bool isContact = false; ///< Other nodes join through this one, so they will ask it for the bundle.
    bool hasBundle = false; ///< Some bundle is in force on this node.
};

/// @brief What a node does in one round.
enum class HeadAction {
    None, ///< Peers deliver the bundle.
    Read, ///< Read the head once.
    Watch, ///< Keep up with the head in the store.
};

/// @brief What a watching node knows of the head before its next call to the store.
struct HeadKnowledge
{
    bool revisionKnown = false; ///< The store revision from which to watch is known.
    Deadline fullReadBy{TimePoint::max()};
    Generation inForce;
    Generation readFromStore; ///< Newest generation that this node has read from the store, or that was in force before its last full read.
};

/// @brief Whether to read the head instead of watching it. A watch replies with each change since the last one, all with their
/// whole value; a node that got a newer generation from a peer has missed some, and needs only the newest.
bool shouldReadHead(const HeadKnowledge &knowledge, TimePoint now);

/// @brief The action for this round.
HeadAction nextHeadAction(HeadWatchState &state, const HeadWatchView &view, const HeadWatchOptions &options, TimePoint now);

/// @brief Allows the next own read of the head at once, after one that failed.
void recordFailedRead(HeadWatchState &state, TimePoint now);

} // namespace agatedoor
