#pragma once

#include "agatedoor/membership/membership.hpp"

/// @brief Exchange of unexpected ends of backend servers between members: gossip of news, and comparison with each sync.
namespace agatedoor {

/// @brief Queues the end @p id for gossip.
void queueEnd(Membership &membership, BackendEndId id);

/// @brief Adds queued ends up to MembershipOptions::maxMessageBytes, and counts their transmission.
void addQueuedEnds(Membership &membership, PeerMessage &message, TimePoint now);

/// @brief Adds all ends to a sync reply if the requester knows others.
void addDifferingEnds(const Membership &membership, const PeerMessage &request, PeerMessage &reply, TimePoint now);

/// @brief The ends that @p message tells, on this node's clock.
std::vector<BackendEnd> endsOf(const PeerMessage &message, TimePoint now);

} // namespace agatedoor
