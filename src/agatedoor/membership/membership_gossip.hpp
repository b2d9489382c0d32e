#pragma once

#include "agatedoor/membership/fleet_view.hpp"
#include "agatedoor/membership/membership.hpp"

/// @brief Gossip of the membership protocol: queued updates, choice of targets, and messages within the byte budget.
namespace agatedoor {

/// @brief Present members other than this node, by locality.
struct PeersByDistance
{
    std::vector<const MemberEntry *> sameZone;
    std::vector<const MemberEntry *> sameRegion;
    std::vector<const MemberEntry *> otherRegion;
};

PeersByDistance peersByDistance(const Membership &membership);

/// @brief Random present member, weighted towards near ones; null when there is none.
const MemberEntry *pickPeer(const PeersByDistance &peers, Random &random);

/// @brief Queues the table entry of @p node for gossip.
void queueUpdate(Membership &membership, const NodeId &node);

/// @brief Creates a message from this node without updates.
PeerMessage makeMessage(const Membership &membership, PeerMessageKind kind);

/// @brief Update for a table entry; for members that aren't present it leaves out the backend servers.
MemberUpdate updateOf(const MemberEntry &entry);

/// @brief Adds the least-transmitted queued updates, up to MembershipOptions::maxMessageBytes, and counts their transmission.
void addQueuedUpdates(Membership &membership, PeerMessage &message);

/// @brief True when the byte budget allows a message to @p region.
bool withinBudget(Membership &membership, const RegionName &region, TimePoint now);

/// @brief Encodes @p message, adds it to @p output and deducts its size from the byte budget.
void queueMessage(Membership &membership, const Endpoint &to, const RegionName &region, const PeerMessage &message, MembershipOutput &output);

/// @brief Gossips the queued updates immediately to a few members of this region and some of each other region.
void gossipNow(Membership &membership, TimePoint now, Random &random, MembershipOutput &output);

/// @brief Sends a sync request with the digest of the table.
void requestSync(Membership &membership, const Endpoint &to, const RegionName &region, MembershipOutput &output);

} // namespace agatedoor
