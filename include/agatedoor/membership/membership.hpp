#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/decide/token_bucket.hpp"
#include "agatedoor/membership/peer_message.hpp"

/// @brief Membership protocol between nodes, as functions over plain state with injected time and randomness.
namespace agatedoor {

/// @brief Times and bounds of the protocol.
struct MembershipOptions
{
    Duration probeInterval = std::chrono::milliseconds(500); ///< One member is probed each.
    Duration directTimeout = std::chrono::milliseconds(250); ///< Then others are asked to ping.
    Duration probeTimeout = std::chrono::milliseconds(750); ///< Then the member is suspect.
    Duration suspicionTime = std::chrono::seconds(3); ///< Time for a suspect to refute.
    std::size_t relays = 3; ///< Members asked to ping on one's behalf.
    Duration gossipInterval = std::chrono::milliseconds(200);
    std::size_t fanout = 3; ///< Members told at each gossip interval while there is news.
    Duration syncInterval = std::chrono::seconds(5); ///< Between comparisons of digests.
    Duration busySyncInterval = std::chrono::milliseconds(500); ///< The same while joining or after a difference.
    Duration reachInterval = std::chrono::seconds(5); ///< Between attempts to reach a member that was lost.
    Duration forgetAfter = std::chrono::hours(6); ///< A dead or left member's record is kept this long.
    Duration lossWindow = std::chrono::seconds(60); ///< Losses within it are counted together.
    double lossShare = 0.2; ///< More than this share lost within the window stays routable as a last resort.
    std::size_t leastLosses = 3; ///< Fewer losses than this are never held.
    Duration stallLimit = std::chrono::seconds(1); ///< A longer gap between ticks means that this process was paused.
    std::size_t messageBytes = 1200; ///< Bound of updates in an ordinary message.
    std::size_t syncBytes = 32UL * 1024; ///< Bound of updates in a sync message.
    TokenBucketOptions budget{16'000, 256'000}; ///< Bytes sent by this node.
    TokenBucketOptions farBudget{2'000, 64'000}; ///< Bytes sent by this node to other regions.
};

/// @brief A ping that waits for its acknowledgement.
struct Probe
{
    NodeId target;
    Deadline directUntil;
    Deadline until;
    bool relayed = false;
};

/// @brief A ping sent on behalf of another member.
struct RelayedPing
{
    Endpoint requester;
    Endpoint target;
    std::uint64_t sequence = 0; ///< Of the requester.
    Deadline until;
};

/// @brief Message ready to be sent.
struct Outgoing
{
    Endpoint to;
    PeerMessageKind kind = PeerMessageKind::Gossip;
    std::string bytes;
};

/// @brief What the caller has to do.
struct MembershipOutput
{
    std::vector<Outgoing> messages;
    std::vector<Endpoint> distrusted; ///< Addresses whose open connection may lead nowhere; to be opened anew before sending.
    bool viewChanged = false; ///< The table changed in a way that requests can notice.
    std::vector<Departure> departures; ///< Acknowledged by an earlier process of this node; they bind this one too.
    bool incarnationChanged = false; ///< This node had to take a greater incarnation; see Membership::self.
};

/// @brief State of the protocol on one node.
struct Membership
{
    MembershipOptions options;
    MemberRecord self;
    bool leaving = false;
    FleetTable table; ///< All members, this node included.
    Generation generation; ///< In force here; carried by every message.
    std::map<NodeId, int> rumours; ///< News with the number of times it is still to be told.
    int generationTellings = 0; ///< The same for a new generation.
    std::vector<NodeId> probeOrder; ///< Rest of the present probe round.
    std::map<std::uint64_t, Probe> probes;
    std::map<std::uint64_t, RelayedPing> relays;
    std::uint64_t lastSequence = 0;
    std::vector<Endpoint> contacts; ///< Addresses to join by.
    std::vector<Endpoint> untried; ///< Those of them that no known member has and that weren't asked yet.
    bool joined = false; ///< A member has answered a comparison of digests.
    std::size_t heldMembers = 0; ///< Lost members that are routable as a last resort.
    TimePoint lastTick;
    Deadline probeAt;
    Deadline gossipAt;
    Deadline syncAt;
    Deadline reachAt;
    TokenBucket budget;
    TokenBucket farBudget;
};

/// @brief Membership of a node that knows only itself.
Membership startMembership(const MembershipOptions &options, const MemberRecord &self, TimePoint now);

/// @brief Does what is due at @p now. To be called several times in each gossip interval.
MembershipOutput tick(Membership &membership, TimePoint now, Random &random);

/// @brief Takes in one message.
MembershipOutput receive(Membership &membership, const PeerMessage &message, TimePoint now, Random &random);

/// @brief Replaces this node's own description and tells several members at once.
/// The version of @p self is ignored: it grows by one.
MembershipOutput describeSelf(Membership &membership, MemberRecord self, TimePoint now, Random &random);

/// @brief Tells several members that this node is gone for good.
MembershipOutput leaveFleet(Membership &membership, TimePoint now, Random &random);

/// @brief Notes the generation in force and tells several members at once.
MembershipOutput announceGeneration(Membership &membership, Generation generation, TimePoint now, Random &random);

/// @brief Adds addresses to join by.
void addContacts(Membership &membership, const std::vector<Endpoint> &contacts);

/// @brief Members that are present, this node included.
std::vector<NodeId> presentMembers(const Membership &membership);

/// @brief Number of members lost within the window when they are too many to be believed at once, otherwise 0.
std::size_t heldMembers(const FleetTable &table, const MembershipOptions &options, TimePoint now);

} // namespace agatedoor
