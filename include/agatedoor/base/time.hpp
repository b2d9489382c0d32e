#pragma once

#include <chrono>

/// @brief Monotonic time and deadlines. State keeps deadlines, never durations.
namespace agatedoor {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// @brief Point in monotonic time after which the result of work is no longer useful.
struct Deadline
{
    TimePoint at;

    friend auto operator<=>(const Deadline &, const Deadline &) = default;
};

/// @brief Deadline @p timeout after @p now.
Deadline deadlineAfter(TimePoint now, Duration timeout);

/// @brief True when @p deadline is at or before @p now.
bool expired(Deadline deadline, TimePoint now);

/// @brief Time left until @p deadline, zero when it has passed.
Duration remaining(Deadline deadline, TimePoint now);

/// @brief The earlier of two deadlines.
Deadline earlier(Deadline a, Deadline b);

/// @brief Converts @p duration to whole microseconds.
std::chrono::microseconds inMicroseconds(Duration duration);

} // namespace agatedoor
