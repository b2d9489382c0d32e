#pragma once

#include "agatedoor/decide/candidate.hpp"
#include "agatedoor/membership/fleet_table.hpp"
#include "agatedoor/state/backend_stats.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

/// @brief Immutable view of the fleet that request threads read.
namespace agatedoor {

/// @brief One backend server that can be chosen.
struct BackendEntry
{
    BackendId backend;
    NodeId node;
    Incarnation incarnation; ///< Of the owning node.
    UnixTime born; ///< Start of the backend server's life; 0 when it isn't stated.
    Endpoint peers; ///< The owning node's address for requests.
    Locality locality = Locality::SameZone;
    Slots slots{1};
    Connections connections{1};
    TimePoint joinedAt; ///< When this node first saw it; starts its warm-up.
    bool draining = false;
    std::shared_ptr<BackendStats> stats;
};

/// @brief Backend servers by service.
struct FleetView
{
    std::unordered_map<ServiceName, std::vector<BackendEntry>> services;
    std::unordered_map<BackendId, Departure> departures; ///< Acknowledged by any node, of this process of it or an earlier one.
    std::int64_t nodes = 1; ///< Nodes that take requests, this one included.
};

/// @brief Where the viewing node stands.
struct Place
{
    NodeId node;
    ZoneName zone;
    RegionName region;
};

/// @brief Distance from @p here to a member.
Locality localityOf(const Place &here, const MemberRecord &member);

/// @brief Builds the view of @p table; counters of backend servers that stay, in the same life of theirs and of their node, are
/// carried over from @p previous.
/// @param keepLost too many members were lost at once to be believed: a service that would lose more than half of its
///        backend servers keeps the lost ones
std::shared_ptr<const FleetView> buildView(const FleetTable &table, const Place &here, const FleetView &previous, TimePoint now, bool keepLost = false);

} // namespace agatedoor
