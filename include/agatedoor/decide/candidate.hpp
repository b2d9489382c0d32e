#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/base/units.hpp"

#include <cstdint>

/// @brief Input of a routing decision: the state of one backend server as this node knows it.
namespace agatedoor {

/// @brief Network distance of a backend server from the node that makes the decision, nearest first.
enum class Locality {
    SameZone,
    SameRegion,
    OtherRegion,
};

/// @brief Number of values of Locality.
inline constexpr int localityCount = 3;

/// @brief Snapshot of one backend server, copied from the shared counters when a decision is made.
/// A time point at the epoch means that the event has not happened yet.
struct Candidate
{
    Locality locality = Locality::SameZone;
    Slots slots{1}; ///< Announced number of slots.
    std::int64_t ownInFlight = 0; ///< Requests from this node that are not answered yet.
    std::int64_t reportedInFlight = 0; ///< Requests running or queued at the owning node, as last reported.
    std::int64_t ownAtReport = 0; ///< Value of ownInFlight when the last report arrived; these requests are included in reportedInFlight.
    TimePoint reportedAt; ///< When the last load report arrived.
    Duration serviceTime{0}; ///< Moving average of the service time, as last reported; 0 when unknown.
    Duration observedTime{0}; ///< Moving average of queueing and service time, as measured by this node; 0 when unknown.
    TimePoint observedAt; ///< When observedTime was last updated.
    TimePoint silentSince; ///< End of the last attempt, or the start of the first request in progress if later.
    Duration pathDelay{0}; ///< Expected round-trip time to the owning node.
    double failureRate = 0; ///< Moving average of the share of attempts that were faults, 0 to 1.
    TimePoint failedAt; ///< Time of the last fault.
    TimePoint overloadedUntil; ///< Treated as overloaded until then, after a refusal because of load.
    TimePoint ejectedUntil; ///< End of the last ejection.
    double weight = 1.0; ///< Share of its normal traffic, 0 to 1; below 1 during slow start and after an ejection.
    bool slow = false; ///< Its VM is currently slow.
    bool ejected = false; ///< Removed from rotation because of faults.
    bool draining = false; ///< Shutting down; receives no new requests.
    bool avoided = false; ///< Recently refused a request as unavailable; used only when nothing else is left.
    bool excluded = false; ///< Already tried for this request.
};

} // namespace agatedoor
