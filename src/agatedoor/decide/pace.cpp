#include "agatedoor/decide/pace.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

/// True when the request would complete before its deadline at the current speed of the VM.
bool finishesInTime(const PaceContext &view, TimePoint now)
{
    const auto slowed = std::chrono::duration_cast<Duration>(view.serviceTime * view.pace.slowdown);
    return slowed < remaining(view.deadline, now);
}

} // namespace

Deadline holdDeadlineAfterBody(Deadline deadline, Duration serviceTime, const PaceOptions &options, TimePoint now)
{
    const Duration spare = remaining(deadline, now) - serviceTime;
    return deadlineAfter(now, std::clamp(spare, Duration::zero(), options.maxBodyHold));
}

PaceVerdict decidePace(const PaceContext &view, const PaceOptions &options, TimePoint now)
{
    const Duration age = now - view.pace.readAt;
    if (age > options.maxFreshAge && view.probeAllowed) {
        return PaceVerdict::Read;
    }
    if (age > options.maxUsableAge || view.pace.slowdown <= options.toleratedSlowdown) {
        return PaceVerdict::Start;
    }
    if (!expired(view.holdUntil, now)) {
        return PaceVerdict::Hold;
    }
    return view.last && finishesInTime(view, now) ? PaceVerdict::Start : PaceVerdict::Refuse;
}

} // namespace agatedoor
