#pragma once

#include "agatedoor/membership/fleet_table.hpp"
#include "agatedoor/release/release.hpp"

/// @brief Messages between nodes. Each is idempotent: it may be lost, repeated or late.
namespace agatedoor {

/// @brief What a message is for.
enum class PeerMessageKind {
    Ping, ///< Asks for an acknowledgement.
    PingRequest, ///< Asks the receiver to ping a target and pass the acknowledgement on.
    Ack,
    Gossip, ///< Carries updates only.
    SyncRequest, ///< Carries the sender's digest.
    SyncReply, ///< Carries the members in the buckets that differ.
    BundleRequest,
    BundleReply,
};

/// @brief One message.
struct PeerMessage
{
    PeerMessageKind kind = PeerMessageKind::Gossip;
    NodeId from;
    RegionName region; ///< Of the sender.
    Endpoint replyTo; ///< Gossip address of the sender.
    std::uint64_t sequence = 0; ///< Ties an acknowledgement to its ping.
    bool repeatedPing = false; ///< No acknowledgement of the first ping came; the receiver's connection to the sender may lead nowhere.
    Generation generation; ///< In force at the sender.
    Endpoint target; ///< Of a ping request.
    NodeId targetNode; ///< Of an acknowledgement: the member that is there.
    std::vector<std::uint64_t> buckets; ///< Digest of a sync request.
    std::vector<std::uint32_t> differing; ///< Buckets that a sync reply covers.
    bool more = false; ///< Buckets were left out for lack of room.
    std::vector<MemberUpdate> updates;
    std::vector<Departure> departures; ///< Of a sync reply: what earlier processes of the receiver acknowledged.
    HeadRecord head; ///< Of a bundle reply.
    std::string text; ///< Of a bundle reply.
};

/// @brief Word for @p kind in metrics and logs.
std::string_view wireName(PeerMessageKind kind);

/// @brief Bytes of @p message.
std::string encodePeerMessage(const PeerMessage &message);

/// @brief Message in @p bytes, or none when they are damaged.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

/// @brief Upper bound of what @p update adds to a message.
std::size_t sizeBound(const MemberUpdate &update);

} // namespace agatedoor
