#include "agatedoor/decide/pace.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

/// Whether a run at the present pace would end before the deadline.
bool fits(const PaceView &view, TimePoint now)
{
    const auto slowed = std::chrono::duration_cast<Duration>(view.serviceTime * view.pace.slowdown);
    return slowed < remaining(view.deadline, now);
}

} // namespace

Deadline holdAfterBody(Deadline deadline, Duration serviceTime, const PaceOptions &options, TimePoint now)
{
    const Duration spare = remaining(deadline, now) - serviceTime;
    return deadlineAfter(now, std::clamp(spare, Duration::zero(), options.bodyHold));
}

PaceVerdict decidePace(const PaceView &view, const PaceOptions &options, TimePoint now)
{
    const Duration age = now - view.pace.readAt;
    if (age > options.freshTime && view.mayRead) {
        return PaceVerdict::Read;
    }
    if (age > options.usableTime || view.pace.slowdown <= options.tolerated) {
        return PaceVerdict::Start;
    }
    if (!expired(view.holdUntil, now)) {
        return PaceVerdict::Hold;
    }
    return view.last && fits(view, now) ? PaceVerdict::Start : PaceVerdict::Refuse;
}

} // namespace agatedoor
