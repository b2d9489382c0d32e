#pragma once

#include "agatedoor/base/boot_time.hpp"
#include "agatedoor/base/random.hpp"
#include "agatedoor/membership/membership.hpp"
#include "agatedoor/state/head_confirmation.hpp"

#include <map>
#include <optional>
#include <vector>

/// @brief How confirmations of the head reach the nodes that don't ask the store: each node keeps one question with a peer, which answers as soon
/// as it knows a newer confirmation. Functions over plain state with injected time and randomness.
///
/// A confirmation in an answer counts from the time at which its question was sent, so a message that was held up makes it older, never newer.
namespace agatedoor {

/// @brief Limits and intervals of the exchange.
struct HeadExchangeOptions
{
    Duration lateAfter = std::chrono::milliseconds(1050); ///< A question is put to another peer when the newest confirmation is this old.
    Duration retryInterval = std::chrono::milliseconds(200); ///< Between such questions.
    Duration minInterval = std::chrono::milliseconds(50); ///< Between any two questions.
    Duration leastGain = std::chrono::milliseconds(100); ///< A confirmation that is newer by less isn't worth an answer.
    Duration answerTime = std::chrono::seconds(3); ///< An answer that comes later is dropped.
    std::size_t maxHeldQuestions = 512;
};

/// @brief A member of the own region that may be asked.
struct HeadPeer
{
    NodeId node;
    Endpoint gossip;
};

/// @brief The members in the order in which they ask the store, see rendezvous(). Stopping ones are left out.
struct HeadPeers
{
    std::vector<HeadPeer> ranked; ///< Those of the own region.
    std::size_t ownRank = 0; ///< Position of this node; the size of the list if it stops.
    std::size_t sources = 1; ///< As many of the first of a region are asked by the others.
    HeadPeer first; ///< The first of the whole fleet, which lets the store confirm the head again and again.
    bool isFirst = false; ///< This node is it.
};

/// @brief A question of this node that awaits its answer.
struct AskedHead
{
    NodeId peer;
    BootTime askedAt;
};

/// @brief A peer's question that awaits a newer confirmation.
struct HeldHeadQuestion
{
    Endpoint replyTo;
    std::uint64_t sequence = 0;
    BootTime receivedAt;
    std::optional<BootTime> knownAt; ///< Of the newest confirmation that the peer knows, at the earliest.
};

/// @brief State of one node.
struct HeadExchange
{
    HeadExchangeOptions options;
    std::map<std::uint64_t, AskedHead> asked; ///< By sequence number.
    std::map<NodeId, HeldHeadQuestion> held; ///< The last question of each peer.
    std::uint64_t lastSequence = 0;
    BootTime lastAskedAt;
    std::size_t unanswered = 0; ///< Questions put since the last answer.
};

/// @brief The members as @p self asks them; @p sources of each region are asked by the others.
HeadPeers headPeersOf(const FleetTable &table, const MemberRecord &self, std::size_t sources);

/// @brief The question that is due at @p now, if any.
/// @param newestAt time of the newest confirmation that this node knows
std::optional<Outgoing> dueHeadQuestion(HeadExchange &exchange, const Membership &membership, const HeadPeers &peers, const std::optional<BootTime> &newestAt,
                                        BootTime now, Random &random);

/// @brief Holds the question in @p message until dueHeadAnswers() has an answer to it.
void holdHeadQuestion(HeadExchange &exchange, const PeerMessage &message, BootTime now);

/// @brief Answers to the held questions of peers that know an older confirmation than @p known.
std::vector<Outgoing> dueHeadAnswers(HeadExchange &exchange, const Membership &membership, const std::optional<HeadConfirmation> &known);

/// @brief The confirmation in an answer to a question of this node; none if it wasn't asked or comes too late.
std::optional<HeadConfirmation> takeHeadAnswer(HeadExchange &exchange, const PeerMessage &answer, BootTime now);

} // namespace agatedoor
