#pragma once

#include "agatedoor/membership/membership.hpp"

/// @brief Failure detection of the membership protocol: pings, relayed pings, suspicion.
namespace agatedoor {

/// @brief Pings the next member of the probe round; starts a new round when none is left.
void startProbe(Membership &membership, TimePoint now, Random &random, MembershipOutput &output);

/// @brief Handles the probes whose deadlines have passed: repeats late pings and asks other members to ping, then marks the
/// target as suspect if no acknowledgement came at all.
void expireProbes(Membership &membership, TimePoint now, Random &random, MembershipOutput &output);

/// @brief Answers a ping.
void acknowledge(Membership &membership, const PeerMessage &ping, MembershipOutput &output);

/// @brief Pings the target of @p request on behalf of its sender.
void relayPing(Membership &membership, const PeerMessage &request, TimePoint now, MembershipOutput &output);

/// @brief Ends the probe that @p ack answers, or forwards @p ack to the member that requested the ping.
void handleAck(Membership &membership, const PeerMessage &ack, MembershipOutput &output);

} // namespace agatedoor
