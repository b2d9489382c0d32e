#pragma once

#include "agatedoor/base/time.hpp"

/// @brief Whether a request starts now on a VM whose pace changes many times a second.
///
/// A VM that is shared with others slows down for some hundred milliseconds at a time. A request that starts then keeps
/// its slot for several times as long, so it is better held for a moment or started elsewhere.
namespace agatedoor {

/// @brief Last reading of a VM's pace.
struct Pace
{
    double slowdown = 1; ///< Time that work takes now as a multiple of the usual time.
    TimePoint readAt; ///< The epoch when it was never read.
};

/// @brief Bounds of the decision.
struct PaceOptions
{
    Duration freshTime = std::chrono::milliseconds(15); ///< An older reading is taken again; a slow spell lasts ten times as long.
    Duration usableTime = std::chrono::milliseconds(100); ///< An older reading says nothing, should no other one be had.
    Duration recheckTime = std::chrono::milliseconds(20); ///< Between readings while a request is held.
    double tolerated = 2; ///< Slowdown that is taken for ordinary variation.
    Duration bodyHold = std::chrono::milliseconds(250); ///< Of a request whose body has come; longer than most slow spells.
};

/// @brief One request that is about to start.
struct PaceView
{
    Pace pace;
    bool mayRead = false; ///< The budget of probes allows another reading.
    Deadline holdUntil; ///< The request may be held until then.
    Deadline deadline; ///< Of the request.
    Duration serviceTime{0}; ///< Usual one; 0 when unknown.
    bool last = false; ///< The sender has nowhere else to go.
};

/// @brief What happens to the request.
enum class PaceVerdict {
    Start,
    Read, ///< Read the pace, then decide again.
    Hold, ///< Wait for the recheck time, then decide again.
    Refuse, ///< It did not run; another VM may be faster.
};

/// @brief Until when a request whose body has come is held at most on a slow VM, so that it can still be answered.
/// To send a body elsewhere takes longer than most slow spells last.
Deadline holdAfterBody(Deadline deadline, Duration serviceTime, const PaceOptions &options, TimePoint now);

/// @brief Decides on one request at @p now. A last one starts on a slow VM when it can still be answered in time.
PaceVerdict decidePace(const PaceView &view, const PaceOptions &options, TimePoint now);

} // namespace agatedoor
