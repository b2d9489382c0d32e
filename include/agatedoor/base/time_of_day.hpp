#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/base/units.hpp"

/// @brief Time of day, for what other processes state in it. It may step, so times and bounds go by the monotonic clock.
namespace agatedoor {

/// @brief Milliseconds since the Unix epoch; 0 when it isn't stated.
using UnixTime = Quantity<struct UnixTimeTag>;

/// @brief Both clocks, read together.
struct Moment
{
    TimePoint at;
    UnixTime timeOfDay;
};

/// @brief The present moment.
Moment readClocks();

} // namespace agatedoor
