#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/base/units.hpp"
#include "agatedoor/decide/candidate.hpp"

#include <array>

/// @brief Cost that routing adds to backend servers outside the availability zone or region of the node.
///
/// Links between zones and regions are shared and billed by the byte, so the cost grows with the size of the request. A small
/// request goes to another zone for a small gain in response time, a large one only when the nearer backend servers would make
/// it wait.
namespace agatedoor {

/// @brief Cost by distance, as the time that a request must save to justify it.
struct LocalityPenaltyOptions
{
    Duration zonePerKilobyte = std::chrono::milliseconds(2); ///< To another zone of the region: 6 ms for a lookup of 3 KB, 120 ms for an upload of 60 KB.
    Duration regionPerKilobyte = std::chrono::milliseconds(6); ///< To another region: these links have less bandwidth and cost several times as much.
    Duration maxPenalty = std::chrono::milliseconds(400); ///< Upper bound for large bodies, so that they can always leave an overloaded zone.
};

/// @brief Added cost for each locality, indexed by Locality.
using LocalityPenalties = std::array<Duration, localityCount>;

/// @brief Added costs of a request that transfers @p bytes, to the backend server and back.
LocalityPenalties localityPenaltiesOf(Bytes bytes, const LocalityPenaltyOptions &options = {});

} // namespace agatedoor
