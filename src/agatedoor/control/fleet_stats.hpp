#pragma once

#include "store_sync.hpp"

#include <boost/json.hpp>

#include <functional>

/// @brief Statistics of the fleet controllers for `/dump` and `/metrics`.
namespace agatedoor {

/// @brief Statistics of the peer and store controllers, read together.
struct FleetStats
{
    PeerSyncStats peers;
    StoreSyncStats store;
};

/// @brief Reads the current statistics; may be called from any thread.
using FleetStatsReader = std::function<FleetStats()>;

/// @brief Reader for two running controllers, which must outlive it.
FleetStatsReader fleetStatsReader(const PeerSync &peers, const StoreSync &store);

/// @brief Statistics as a JSON object for `/dump`. Without a bundle, `why_no_bundle` gives the reason.
boost::json::object dumpFleetStats(const FleetStats &stats, bool hasBundle);

/// @brief Statistics in the Prometheus text format.
std::string prometheusText(const FleetStats &stats);

} // namespace agatedoor
