#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/random.hpp"
#include "agatedoor/base/time.hpp"

#include <cstddef>
#include <limits>
#include <optional>

/// @brief Decides how a node learns which bundle is in force: by watching the head record in the store, by one call of its own, or
/// from its peers.
///
/// A few nodes of each region watch. Every other node gets a new bundle from a peer, so calls to the store and bytes between regions
/// grow with the number of regions and not with the fleet. The silence of peers says nothing, nor does that of an open watch. So the first
/// watcher of the fleet lets the store confirm again and again that the head hasn't changed, and peers pass on until when it has (see head_exchange.hpp). A
/// node asks the store itself when that is too long ago, whatever the reason: the watchers in their order, then the others at different times, so
/// that a loss of the watchers brings no rush.
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
    Duration renewAfter = std::chrono::milliseconds(900); ///< Age at which the first of the fleet lets the store confirm the head anew.
    /// Age of the newest confirmation at which a selected node asks the store: that of the first, and the difference from rank to rank.
    Duration selectedLimit = std::chrono::milliseconds(1100);
    Duration limitPerRank = std::chrono::milliseconds(30);
    /// Age at which any other node does: the least, and the random time on top of it. A change must be in force everywhere within 2 s.
    Duration otherLimit = std::chrono::milliseconds(1250);
    Duration otherLimitSpread = std::chrono::milliseconds(300);
    /// Pause of a node that isn't selected after two failed calls in a row, with a random time on top: then its peers can't reach the store either.
    Duration failurePause = std::chrono::milliseconds(1500);
    Duration failurePauseSpread = std::chrono::milliseconds(2500);
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
    Duration limitDelay{0}; ///< Random part of the age at which this node asks the store, see drawLimitDelay().
};

/// @brief Input of one round.
struct HeadWatchView
{
    bool isolated = false; ///< The node knows no other node.
    /// Position of the node among its region's members, by its own view of the fleet.
    std::size_t rank = std::numeric_limits<std::size_t>::max();
    bool selected = false; ///< It is one of the first few, which watch.
    bool isFirst = false; ///< It is the first of the whole fleet.
    bool isContact = false; ///< Other nodes join through this one, so they will ask it for the bundle.
    bool hasBundle = false; ///< Some bundle is in force on this node.
    Duration confirmationAge{0}; ///< Time since the store has confirmed the bundle in force; without a confirmation, since it came.
};

/// @brief What a node does in one round.
enum class HeadAction {
    None, ///< Peers deliver the bundle.
    Read, ///< Read the head once.
    Watch, ///< Keep up with the head in the store.
    Confirm, ///< Ask the store once whether the head has changed.
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

/// @brief Age of the newest confirmation at which the node asks the store.
Duration confirmationLimit(const HeadWatchState &state, const HeadWatchView &view, const HeadWatchOptions &options);

/// @brief Whether the store has to confirm to this node, while it watches, that the head hasn't changed.
bool renewsConfirmation(const HeadWatchView &view);

/// @brief Draws the random part of the age at which the node asks the store; to be called after each time it did.
void drawLimitDelay(HeadWatchState &state, const HeadWatchOptions &options, Random &random);

/// @brief Pause after a failed call, if the node leaves the store to the selected ones for a while: it isn't one of them, and @p failed calls
/// failed before this one. Its peers can't reach the store either then, or have told it what is new.
std::optional<Duration> pauseOfUnselected(const HeadWatchView &view, int failed, const HeadWatchOptions &options, Random &random);

/// @brief The action for this round.
HeadAction nextHeadAction(HeadWatchState &state, const HeadWatchView &view, const HeadWatchOptions &options, TimePoint now);

/// @brief Allows the next own read of the head at once, after one that failed.
void recordFailedRead(HeadWatchState &state, TimePoint now);

} // namespace agatedoor
