#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/time.hpp"

/// @brief Decides when a node asks the peer that announced a newer generation for its bundle.
namespace agatedoor {

/// @brief The newest generation announced by a peer, and when its bundle may be requested.
struct BundleFetch
{
    Generation wanted;
    TimePoint behindSince; ///< When a peer first announced a newer generation than the one in force.
    Deadline otherRegionsFrom{TimePoint::min()}; ///< From this time on, peers in other regions may be asked too.
    Deadline nextRequest{TimePoint::min()}; ///< No further request is sent before this time.
};

/// @brief A generation that a peer announced.
struct AnnouncedGeneration
{
    Generation generation;
    bool sameRegion = false; ///< The peer is in the region of this node.
    bool representative = false; ///< This node may ask peers in other regions at once, on behalf of its region.
};

/// @brief Returns whether to request the bundle from the announcing peer now; if so, records the request in @p fetch.
bool shouldFetch(BundleFetch &fetch, const AnnouncedGeneration &announced, Generation inForce, TimePoint now);

/// @brief Records that a received bundle was refused, which delays the next request for this generation.
void recordRefusal(BundleFetch &fetch, TimePoint now);

} // namespace agatedoor
