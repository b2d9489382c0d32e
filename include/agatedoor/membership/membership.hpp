#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/decide/token_bucket.hpp"
#include "agatedoor/membership/peer_message.hpp"

/// @brief SWIM-style membership protocol between nodes: probing, gossip and anti-entropy sync, as functions over plain state
/// with injected time and randomness.
namespace agatedoor {

/// @brief Intervals, timeouts and limits of the protocol.
struct MembershipOptions
{
    Duration probeInterval = std::chrono::milliseconds(500); ///< Between probes; each probes one member.
    Duration directTimeout = std::chrono::milliseconds(250); ///< Without an acknowledgement by then, other members are asked to ping.
    Duration probeTimeout = std::chrono::milliseconds(750); ///< Without any acknowledgement by then, the member becomes suspect.
    Duration suspicionTimeout = std::chrono::seconds(3); ///< A suspect that doesn't refute within this time is declared dead.
    std::size_t relays = 3; ///< Members asked to ping an unresponsive one.
    Duration gossipInterval = std::chrono::milliseconds(200);
    std::size_t fanout = 3; ///< Members that receive gossip in each interval while updates are queued.
    Duration syncInterval = std::chrono::seconds(5); ///< Between digest comparisons with another member.
    Duration fastSyncInterval = std::chrono::milliseconds(500); ///< Used instead while joining, and after a comparison that found differences.
    Duration reconnectInterval = std::chrono::seconds(5); ///< Between attempts to reach a lost member.
    Duration forgetAfter = std::chrono::hours(6); ///< The record of a dead or left member is kept this long.
    Duration lossWindow = std::chrono::seconds(60); ///< Members lost within this time count as lost together.
    double massLossShare = 0.2; ///< If more than this share of the members is lost within the window, the lost ones stay routable as a last resort.
    std::size_t minMassLoss = 3; ///< Fewer lost members than this are never kept routable.
    Duration pauseThreshold = std::chrono::seconds(1); ///< A longer gap between ticks means that this process was paused.
    std::size_t maxMessageBytes = 1200; ///< Size limit of the updates in messages other than sync messages.
    std::size_t maxSyncBytes = 32UL * 1024; ///< Size limit of the updates in a sync reply and in the answer to it.
    TokenBucketOptions budget{16'000, 256'000}; ///< Bytes that this node may send: rate per second and burst.
    TokenBucketOptions crossRegionBudget{2'000, 64'000}; ///< The part of them that may go to other regions.
};

/// @brief A ping awaiting its acknowledgement.
struct Probe
{
    NodeId target;
    Deadline directDeadline; ///< Then other members are asked to ping.
    Deadline deadline; ///< Then the target becomes suspect.
    bool relayed = false; ///< Other members have been asked.
};

/// @brief A ping sent on behalf of another member.
struct RelayedPing
{
    Endpoint requester;
    Endpoint target;
    std::uint64_t sequence = 0; ///< Sequence number of the requester's ping.
    Deadline deadline;
};

/// @brief Encoded message to be sent.
struct Outgoing
{
    Endpoint to;
    PeerMessageKind kind = PeerMessageKind::Gossip;
    std::string bytes;
};

/// @brief Actions for the caller.
struct MembershipOutput
{
    std::vector<Outgoing> messages;
    std::vector<Endpoint> connectionsToReopen; ///< Addresses whose open connection may be dead; reconnect before sending the messages.
    bool viewChanged = false; ///< The table changed in a way that can affect routing.
    std::vector<BackendEnd> ends; ///< Unexpected ends of backend servers that a peer told.
    std::vector<Departure> departures; ///< Acknowledged by an earlier process of this node; this one must apply them too.
    bool earlierProcessTold = false; ///< A peer knew an earlier process of this node; departures holds what that one acknowledged.
    bool incarnationChanged = false; ///< This node took a greater incarnation to refute a record of itself; see Membership::self.
};

/// @brief Protocol state of one node.
struct Membership
{
    MembershipOptions options;
    MemberRecord self;
    bool leaving = false; ///< This node announces itself as left.
    FleetTable table; ///< All members, this node included.
    Generation generation; ///< Bundle generation in force on this node; carried by every message.
    StoreEra storeEra; ///< Newest era of the store that this node knows; carried by every message.
    BackendEnds ends; ///< All unexpected ends of backend servers that this node knows.
    std::map<BackendEndId, int> queuedEnds; ///< Those of them to be gossiped, with the number of transmissions left.
    std::map<NodeId, int> queuedUpdates; ///< Members whose update is to be gossiped, with the number of transmissions left.
    int generationTransmissions = 0; ///< Transmissions left for a new generation.
    std::vector<NodeId> probeOrder; ///< Members left to probe in the current round.
    std::map<std::uint64_t, Probe> probes; ///< By sequence number.
    std::map<std::uint64_t, RelayedPing> relays; ///< By the sequence number of the relayed ping.
    std::uint64_t lastSequence = 0;
    std::vector<Endpoint> contacts; ///< Addresses of nodes through which to join the fleet.
    std::vector<Endpoint> untriedContacts; ///< Contacts that belonged to no present member when added and haven't been asked yet.
    bool joined = false; ///< A member has answered a sync request.
    std::size_t heldMembers = 0; ///< Number of lost members that stay routable as a last resort.
    TimePoint lastTick;
    Deadline probeAt;
    Deadline gossipAt;
    Deadline syncAt;
    Deadline reconnectAt;
    TokenBucket budget;
    TokenBucket crossRegionBudget;
};

/// @brief Initial state of a node that knows only itself.
Membership startMembership(const MembershipOptions &options, const MemberRecord &self, TimePoint now);

/// @brief Performs what is due at @p now. Call it several times per gossip interval.
MembershipOutput tick(Membership &membership, TimePoint now, Random &random);

/// @brief Handles one received message.
MembershipOutput receive(Membership &membership, const PeerMessage &message, TimePoint now, Random &random);

/// @brief Replaces this node's own record and gossips it to several members immediately.
/// The incarnation and version of @p self are ignored: the incarnation stays and the version grows by one.
MembershipOutput updateSelf(Membership &membership, MemberRecord self, TimePoint now, Random &random);

/// @brief Marks this node as left and gossips that to several members immediately.
MembershipOutput leaveFleet(Membership &membership, TimePoint now, Random &random);

/// @brief Sets the bundle generation in force and gossips it, with the era of the store, to several members immediately.
MembershipOutput announceGeneration(Membership &membership, Generation generation, TimePoint now, Random &random);

/// @brief Sets the unexpected ends of backend servers that this node knows, and gossips @p news of them to several members immediately.
MembershipOutput announceEnds(Membership &membership, const BackendEnds &known, const std::vector<BackendEnd> &news, TimePoint now, Random &random);

/// @brief Adds addresses of nodes through which to join the fleet.
void addContacts(Membership &membership, const std::vector<Endpoint> &contacts);

/// @brief Members that are alive or suspect, including this node.
std::vector<NodeId> presentMembers(const Membership &membership);

/// @brief Number of members lost within MembershipOptions::lossWindow if they are so many that a network fault is likelier than
/// their death, otherwise 0.
std::size_t heldMembers(const FleetTable &table, const MembershipOptions &options, TimePoint now);

} // namespace agatedoor
