#pragma once

#include "agatedoor/membership/membership.hpp"

/// @brief Anti-entropy sync of the membership protocol: two members compare their tables, so that all tables converge.
namespace agatedoor {

/// @brief Sends a sync request to a random member. While joining, half of the requests go to a contact, and all while no member
/// is known.
void syncWithPeer(Membership &membership, TimePoint now, Random &random, MembershipOutput &output);

/// @brief Sends a sync request to a dead member or a contact, so that partitions of the fleet merge again.
void reconnectLost(Membership &membership, TimePoint now, Random &random, MembershipOutput &output);

/// @brief Sends a sync request to the next untried contact, so that nodes that started in separate groups merge soon.
void syncWithUntriedContact(Membership &membership, TimePoint now, MembershipOutput &output);

/// @brief Answers a sync request with the members in the differing buckets: whole buckets, starting at a random one, up to
/// MembershipOptions::maxSyncBytes. Doesn't answer when the byte budget is spent; the sender will ask another member.
void answerSync(Membership &membership, const PeerMessage &request, TimePoint now, Random &random, MembershipOutput &output);

/// @brief Sends the updates that the other side lacks, and requests the next buckets while there are more.
void handleSyncReply(Membership &membership, const PeerMessage &reply, bool changed, TimePoint now, Random &random, MembershipOutput &output);

/// @brief Deadline after @p interval, varied at random by up to a tenth either way.
Deadline jittered(TimePoint now, Duration interval, Random &random);

} // namespace agatedoor
