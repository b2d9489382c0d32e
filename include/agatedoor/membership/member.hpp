#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/units.hpp"
#include "agatedoor/membership/departures.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @brief Records in which nodes describe themselves and their backend servers to each other.
namespace agatedoor {

/// @brief Most slots and connections that a backend server may announce. Greater numbers are taken for damage: sums of them
/// must not overflow.
inline constexpr std::int64_t maxSlots = 1'000'000;
inline constexpr std::int64_t maxConnections = 10'000'000;

/// @brief State of a backend server as announced to the node on its VM.
enum class BackendStatus {
    Serving,
    Draining,
};

/// @brief One announced backend server.
struct BackendRecord
{
    BackendId backend;
    ServiceName service;
    Slots slots{1};
    Connections connections{1};
    BackendStatus status = BackendStatus::Serving;
    UnixTime born{}; ///< Start time of its process; 0 when unknown.

    friend bool operator==(const BackendRecord &, const BackendRecord &) = default;
};

/// @brief State of a node in the fleet, as another node sees it. The values are sent on the wire.
enum class MemberStatus {
    Alive,
    Suspect,
    Left,
    Dead,
};

/// @brief A node's description of itself; only that node changes it.
/// Between two records of a node, the one with the greater incarnation, then the greater version, wins.
struct MemberRecord
{
    NodeId node;
    Incarnation incarnation;
    Counter<struct RecordVersionTag> version;
    ZoneName zone;
    RegionName region;
    Endpoint peers; ///< Address at which the node accepts requests forwarded by other nodes.
    Endpoint gossip; ///< Address at which the node exchanges membership messages.
    bool stopping = false; ///< The node is shutting down and takes no new requests.
    std::vector<BackendRecord> backends;
    std::vector<Departure> departures; ///< Drains and withdrawals of backend servers that this node acknowledged.

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// @brief True when @p a wins over @p b.
bool newer(const MemberRecord &a, const MemberRecord &b);

/// @brief Name of @p status in logs and reports.
std::string_view wireName(MemberStatus status);

/// @brief Name of @p status in reports.
std::string_view wireName(BackendStatus status);

/// @brief Encodes @p record as protobuf.
std::string encodeMember(const MemberRecord &record);

/// @brief Decodes a record; none when @p bytes are malformed or name no node.
std::optional<MemberRecord> decodeMember(std::string_view bytes);

} // namespace agatedoor
