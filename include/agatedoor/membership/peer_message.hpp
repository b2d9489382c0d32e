#pragma once

#include "agatedoor/decide/quota_pool.hpp"
#include "agatedoor/membership/fleet_table.hpp"
#include "agatedoor/release/release.hpp"
#include "agatedoor/state/backend_ends.hpp"
#include "agatedoor/state/head_confirmation.hpp"
#include "agatedoor/state/store.hpp"

/// @brief Messages between nodes. Each is idempotent: it may be lost, duplicated or delayed.
namespace agatedoor {

/// @brief Kind of a message. The values are sent on the wire.
enum class PeerMessageKind {
    Ping, ///< Asks for an acknowledgement.
    PingRequest, ///< Asks the receiver to ping a target and to forward the acknowledgement.
    Ack,
    Gossip, ///< Carries member updates only.
    SyncRequest, ///< Carries the digest of the sender's table.
    SyncReply, ///< Carries the members in the digest buckets that differ.
    BundleRequest,
    BundleReply,
    HeadQuestion, ///< Asks for a newer confirmation of the head than the sender knows; answered once there is one.
    HeadAnswer,
    QuotaReport, ///< Lends the sender's share of all quotas to the receiver, and asks for tokens.
    QuotaReply,
};

/// @brief A request beside an unexpected end as it is told to a peer, whose clock is another.
struct RequestBesideEndNews
{
    ContentDigest content;
    bool answeredSince = false;
    int trials = 0;
    std::chrono::milliseconds nextTrialIn{0}; ///< Only with trials.

    friend bool operator==(const RequestBesideEndNews &, const RequestBesideEndNews &) = default;
};

/// @brief An unexpected end of a backend server as it is told to a peer, whose clock is another.
struct BackendEndNews
{
    BackendEndId id;
    std::vector<RequestBesideEndNews> requests;
    std::chrono::milliseconds forgetAfter{0};

    friend bool operator==(const BackendEndNews &, const BackendEndNews &) = default;
};

/// @brief What the store said of the head, as it is told to a peer, whose clock is another.
struct HeadConfirmationNews
{
    Generation generation;
    /// From the arrival of the question to the time of which the store's word is. Counted from when the question was sent, it is never too late a
    /// time, however long the messages took.
    std::chrono::microseconds sinceQuestion{0};
    StorePosition position;
    EvacuatedZones evacuated = {};

    friend bool operator==(const HeadConfirmationNews &, const HeadConfirmationNews &) = default;
};

/// @brief Time of a granter's clock, which only that process understands.
struct GranterTime
{
    std::uint64_t process = 0; ///< Identifies the process; 0 when there is none.
    std::chrono::microseconds at{0};

    friend bool operator==(const GranterTime &, const GranterTime &) = default;
};

/// @brief One message between nodes; the fields that its kind doesn't use stay empty.
struct PeerMessage
{
    PeerMessageKind kind = PeerMessageKind::Gossip;
    NodeId from;
    RegionName region; ///< Of the sender.
    Endpoint replyTo; ///< Gossip address of the sender.
    std::uint64_t sequence = 0; ///< Matches an acknowledgement with its ping.
    bool repeatedPing = false; ///< The first ping wasn't acknowledged, so the receiver's connection to the sender may be dead.
    Generation generation; ///< Bundle generation in force at the sender.
    StoreEra storeEra; ///< Newest era of the store that the sender knows.
    Endpoint target; ///< Ping request: address to ping.
    NodeId targetNode; ///< Ping request: the member to ping. Acknowledgement: the member that answered.
    std::vector<std::uint64_t> buckets; ///< Sync request: digest of the sender's table.
    std::vector<std::uint32_t> differing; ///< Sync reply: the differing buckets whose members it carries.
    bool more = false; ///< Sync reply: further buckets differ but exceeded the size limit.
    std::vector<MemberUpdate> updates;
    std::vector<Departure> departures; ///< Sync reply: departures that earlier processes of the receiver acknowledged.
    bool knewEarlierProcess = false; ///< Sync reply: the sender knew such a process, so departures holds all that it knows of them.
    std::vector<BackendEndNews> ends; ///< Unexpected ends of backend servers. Sync reply: all that the sender knows, if the requester knows others.
    std::uint64_t endsDigest = 0; ///< Sync request: hash of the ends that the sender knows.
    bool readsPackedText = false; ///< Bundle request: the reply may carry packedText.
    HeadRecord head; ///< Bundle reply: head record of the bundle. Bundle request: of the one in force at the sender.
    std::string text; ///< Bundle reply: bundle text.
    std::string packedText; ///< Bundle reply: bundle text as packText makes it, in place of text.
    BundleDigest baseDigest; ///< Bundle reply: the text that packedText was packed against; empty if none.
    std::optional<std::chrono::microseconds> confirmationAge; ///< Head question: of the newest confirmation that the sender knows; none without one.
    HeadConfirmationNews confirmation; ///< Head answer.
    /// Quota reply: when it was sent. Quota report: that of the reply from which on the sender's share is lent; none when it lends nothing.
    GranterTime granterTime;
    std::chrono::milliseconds loan{0}; ///< Quota report: how long the share is lent from granterTime on.
    std::chrono::milliseconds tokenTime{0}; ///< Quota report: how long a token may be used from when the report was sent.
    std::vector<QuotaNeed> needs; ///< Quota report.
    std::vector<QuotaGrant> grants; ///< Quota reply.
};

/// @brief Name of @p kind in metrics and logs.
std::string_view wireName(PeerMessageKind kind);

/// @brief Encodes @p message as protobuf.
std::string encodePeerMessage(const PeerMessage &message);

/// @brief Decodes a message; none when @p bytes are malformed.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

/// @brief Upper bound, in bytes, of the size that @p update adds to a message.
std::size_t sizeBound(const MemberUpdate &update);

} // namespace agatedoor
