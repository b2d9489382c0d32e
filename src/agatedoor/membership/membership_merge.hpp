#pragma once

#include "agatedoor/membership/membership.hpp"

/// @brief Applies member updates to the table of the membership protocol.
namespace agatedoor {

/// @brief Applies one update; an update about this node that is wrong is refuted.
/// @return true when the table changed
bool applyUpdate(Membership &membership, const MemberUpdate &update, TimePoint now, MembershipOutput &output);

/// @brief Changes the status of a member and queues the update for gossip.
void setStatus(Membership &membership, MemberEntry &entry, MemberStatus status, TimePoint now);

/// @brief Writes this node's own record into the table and queues it for gossip.
void publishSelf(Membership &membership);

/// @brief Called after this process was paused: drops the running probes and extends the suspicions by the pause. After more
/// than half of MembershipOptions::forgetAfter the table is outdated: the other members are removed and become contacts.
void resumeAfterPause(Membership &membership, Duration pause, MembershipOutput &output);

} // namespace agatedoor
