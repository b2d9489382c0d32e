#include "agatedoor/decide/hedge.hpp"

#include <algorithm>

namespace agatedoor {

std::optional<PlannedHedge> planHedge(const HedgeContext &view, const HedgeOptions &options)
{
    if (!view.idempotent || view.repeat || view.attempts >= options.maxAttempts) {
        return std::nullopt;
    }
    const Duration latest = remaining(view.deadline, view.startedAt) / options.deadlineDivisor;
    if (latest < options.minDelay) {
        return std::nullopt;
    }
    const Duration tail = std::max(view.tail, options.minDelay);
    const bool afterTail = view.tail > Duration::zero() && !view.hedged && tail < latest;
    return PlannedHedge{deadlineAfter(view.startedAt, afterTail ? tail : latest), afterTail};
}

} // namespace agatedoor
