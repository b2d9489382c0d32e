#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/base/units.hpp"
#include "agatedoor/decide/candidate.hpp"

#include <array>

/// @brief What a request must gain before it leaves its availability zone or region.
///
/// Links between zones and regions are shared and paid for by the byte. A small request moves for little, a large body only
/// when the nearer backend servers would make it wait.
namespace agatedoor {

/// @brief Price of a byte that leaves, as time that a request must gain by it.
struct CrossingOptions
{
    Duration zonePerKilobyte = std::chrono::milliseconds(2); ///< A lookup of 3 KB leaves for 6 ms, an upload of 60 KB for 120 ms.
    Duration regionPerKilobyte = std::chrono::milliseconds(6); ///< Links between regions are narrower and cost several times as much.
    Duration most = std::chrono::milliseconds(400); ///< Larger bodies leave for no more than this, so that a full zone never keeps them.
};

/// @brief Least gain for each locality, by its index.
using Crossing = std::array<Duration, localityCount>;

/// @brief Least gain of a request that moves @p bytes to its backend server and back.
Crossing crossingOf(Bytes bytes, const CrossingOptions &options = {});

} // namespace agatedoor
