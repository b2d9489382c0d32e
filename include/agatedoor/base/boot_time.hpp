#pragma once

#include "agatedoor/base/time.hpp"

#include <chrono>

/// @brief Time since the machine started, including the time during which it was suspended.
namespace agatedoor {

/// @brief Clock for what a node states to others about the age of its knowledge: unlike Clock, it goes on while the machine is suspended.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using BootTime = BootClock::time_point;

} // namespace agatedoor
