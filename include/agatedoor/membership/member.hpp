#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/units.hpp"
#include "agatedoor/membership/departures.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @brief What nodes tell each other about themselves and their backend servers.
namespace agatedoor {

/// @brief State of a backend server as announced to its own node.
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
    UnixTime born{}; ///< Start of its life; 0 when it isn't stated.

    friend bool operator==(const BackendRecord &, const BackendRecord &) = default;
};

/// @brief State of a node in the fleet.
enum class MemberStatus {
    Alive,
    Suspect,
    Left,
    Dead,
};

/// @brief One node's own description; only the node itself writes it.
/// Between two records of a node, the one with the greater incarnation, then the greater version, wins.
struct MemberRecord
{
    NodeId node;
    Incarnation incarnation;
    Counter<struct RecordVersionTag> version;
    ZoneName zone;
    RegionName region;
    Endpoint peers; ///< Where the node takes over requests.
    Endpoint gossip; ///< Where the node exchanges fleet state.
    bool stopping = false; ///< The node takes no new work.
    std::vector<BackendRecord> backends;
    std::vector<Departure> departures; ///< Backend servers that this node acknowledged to be leaving.

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// @brief True when @p a replaces @p b.
bool newer(const MemberRecord &a, const MemberRecord &b);

/// @brief Word for @p status.
std::string_view wireName(MemberStatus status);

/// @brief Word for @p status.
std::string_view wireName(BackendStatus status);

/// @brief Bytes of @p record for the store and for peers.
std::string encodeMember(const MemberRecord &record);

/// @brief Record in @p bytes, or none when they are damaged.
std::optional<MemberRecord> decodeMember(std::string_view bytes);

} // namespace agatedoor
