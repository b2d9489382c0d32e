#include "agatedoor/base/time.hpp"

#include <algorithm>

namespace agatedoor {

Deadline deadlineAfter(TimePoint now, Duration timeout)
{
    return {now + timeout};
}

bool expired(Deadline deadline, TimePoint now)
{
    return deadline.at <= now;
}

Duration remaining(Deadline deadline, TimePoint now)
{
    return std::max(Duration::zero(), deadline.at - now);
}

Deadline earlier(Deadline a, Deadline b)
{
    return std::min(a, b);
}

std::chrono::microseconds inMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration);
}

} // namespace agatedoor
