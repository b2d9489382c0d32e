#include "agatedoor/decide/hedge.hpp"

#include <algorithm>

namespace agatedoor {

std::optional<Deadline> hedgeTime(const HedgeContext &view, const HedgeOptions &options)
{
    if (!view.idempotent || view.repeat || view.attempts >= options.maxAttempts) {
        return std::nullopt;
    }
    const Duration latest = remaining(view.deadline, view.startedAt) / options.deadlineDivisor;
    if (latest < options.minDelay) {
        return std::nullopt;
    }
    const bool tailKnown = view.tail > Duration::zero();
    const Duration wanted = tailKnown && !view.hedged ? std::max(view.tail, options.minDelay) : latest;
    return deadlineAfter(view.startedAt, std::min(wanted, latest));
}

} // namespace agatedoor
