#include "agatedoor/decide/return_plan.hpp"

#include <algorithm>

namespace agatedoor {

Deadline planReturn(ReturnPlan &plan, const BackendLoad &load, const ReturnPlanOptions &options, TimePoint now)
{
    const Duration each = load.serviceTime / std::max<std::int64_t>(load.limit.value, 1);
    const Deadline drained = deadlineAfter(now, std::max(options.least, each * (load.queued + 1)));
    const Deadline last = deadlineAfter(now, options.limit);
    const Deadline time = std::min(std::max(plan.next, drained), last);
    const auto spacing = std::chrono::duration_cast<Duration>(each / options.share);
    plan.next = std::min(Deadline{time.at + spacing}, last);
    return time;
}

} // namespace agatedoor
