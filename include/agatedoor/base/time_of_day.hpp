#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/base/units.hpp"

/// @brief Wall-clock time, only for exchange with other processes.
/// The wall clock may jump, so deadlines and measurements use the monotonic clock.
namespace agatedoor {

/// @brief Milliseconds since the Unix epoch; 0 when unknown.
using UnixTime = Quantity<struct UnixTimeTag>;

/// @brief Monotonic and wall-clock time, read together.
struct ClockReading
{
    TimePoint at;
    UnixTime timeOfDay;
};

/// @brief Reads both clocks.
ClockReading readClocks();

} // namespace agatedoor
