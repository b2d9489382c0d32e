#pragma once

#include "agatedoor/decide/candidate.hpp"
#include "agatedoor/membership/fleet_table.hpp"
#include "agatedoor/state/backend_stats.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

/// @brief Immutable view of the fleet, read by request threads.
namespace agatedoor {

/// @brief One backend server that requests can be routed to.
struct BackendEntry
{
    BackendId backend;
    NodeId node;
    ZoneName zone;
    RegionName region;
    Incarnation incarnation; ///< Of the owning node.
    UnixTime born; ///< Start time of the backend server process; 0 when unknown.
    Endpoint peers; ///< Address at which the owning node accepts requests from other nodes.
    Locality locality = Locality::SameZone;
    Slots slots{1};
    Connections connections{1};
    TimePoint joinedAt; ///< When this node first saw the backend server; its warm-up starts then.
    bool draining = false;
    std::shared_ptr<BackendStats> stats;
};

/// @brief Backend servers by service.
struct FleetView
{
    std::unordered_map<ServiceName, std::vector<BackendEntry>> services;
    std::unordered_map<BackendId, Departure> departures; ///< Acknowledged by any node, in its current process or an earlier one.
    std::int64_t nodes = 1; ///< Nodes that accept requests, including this one.
};

/// @brief Node whose view is built, with its availability zone and region.
struct NodeLocation
{
    NodeId node;
    ZoneName zone;
    RegionName region;
};

/// @brief Locality of @p member as seen from @p here.
Locality localityOf(const NodeLocation &here, const MemberRecord &member);

/// @brief Builds the view of @p table. The statistics and join time of a backend server are carried over from @p previous
/// as long as neither its process nor that of its node has restarted.
/// @param keepLost so many members were lost at once that a network fault is likelier than their death: a service that
///        would lose more than half of its backend servers keeps the lost ones
std::shared_ptr<const FleetView> buildView(const FleetTable &table, const NodeLocation &here, const FleetView &previous, TimePoint now, bool keepLost = false);

} // namespace agatedoor
