#pragma once

#include "agatedoor/base/time.hpp"

/// @brief Delays or refuses requests while the VM of a backend server is slowed down by its neighbors.
///
/// The pace is the speed at which a VM currently executes work. It changes many times a second: a VM on a shared host slows
/// down for some hundred milliseconds at a time. A request that starts during a slowdown occupies its slot for several times
/// as long, so it is better to hold it for a moment or to start it on another VM.
namespace agatedoor {

/// @brief Last measurement of a VM's pace.
struct Pace
{
    double slowdown = 1; ///< Time that a piece of work currently takes, as a multiple of its usual time.
    TimePoint readAt; ///< The epoch when it was never measured.
};

/// @brief Parameters of the decision.
struct PaceOptions
{
    Duration maxFreshAge = std::chrono::milliseconds(15); ///< An older measurement is repeated; a slowdown lasts about ten times as long.
    Duration maxUsableAge = std::chrono::milliseconds(100); ///< An older measurement is ignored, even if it cannot be repeated.
    Duration recheckInterval = std::chrono::milliseconds(20); ///< Interval between measurements while a request is held.
    double toleratedSlowdown = 2; ///< Slowdown up to which the pace counts as normal variation.
    Duration maxBodyHold = std::chrono::milliseconds(250); ///< Longest hold after the request body was received; longer than most slowdowns.
};

/// @brief A request that is about to start.
struct PaceContext
{
    Pace pace;
    bool probeAllowed = false; ///< The probe budget allows another measurement.
    Deadline holdUntil; ///< Time until which the request may be held.
    Deadline deadline; ///< Deadline of the request.
    Duration serviceTime{0}; ///< Usual service time; 0 when unknown.
    bool last = false; ///< The sending node will not try another backend server.
};

/// @brief Result of the decision.
enum class PaceVerdict {
    Start, ///< Run it now.
    Read, ///< Measure the pace, then decide again.
    Hold, ///< Wait for the recheck interval, then decide again.
    Refuse, ///< Reject it without running it, so that the sender can try another VM.
};

/// @brief Time until which a request may be held on a slow VM once its body was received, so that it can still be answered.
/// It is held here because sending the body to another node takes longer than most slowdowns last.
Deadline holdDeadlineAfterBody(Deadline deadline, Duration serviceTime, const PaceOptions &options, TimePoint now);

/// @brief Decides on one request at @p now. A request marked as last starts even on a slow VM if it can still be answered in time.
PaceVerdict decidePace(const PaceContext &view, const PaceOptions &options, TimePoint now);

} // namespace agatedoor
