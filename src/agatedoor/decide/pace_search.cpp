#include "agatedoor/decide/pace_search.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

/// Longest wait of one attempt.
Duration holdTime(const PaceSearchOptions &options, Deadline aim, Deadline deadline, TimePoint now)
{
    const Duration share = remaining(earlier(aim, deadline), now) / options.holdDivisor;
    return std::clamp(share, options.minHold, options.maxHold);
}

} // namespace

bool stepExhausted(const PaceSearch &search, const PaceSearchOptions &options)
{
    return search.slowMet >= options.slowMet.at(static_cast<std::size_t>(search.step));
}

bool hasNextStep(const PaceSearch &search)
{
    return search.slowMet > 0 && search.step != PaceSearchStep::HoldAnywhere;
}

SearchConstraints advanceSearch(PaceSearch &search, const PaceSearchOptions &options, Deadline aim, Deadline deadline, TimePoint now)
{
    search.step = static_cast<PaceSearchStep>(static_cast<int>(search.step) + 1);
    const bool holds = search.step != PaceSearchStep::Far;
    SearchConstraints bounds;
    bounds.nearOnly = search.step <= PaceSearchStep::HoldNear;
    bounds.last = search.step == PaceSearchStep::HoldAnywhere;
    bounds.holdUntil = holds ? earlier(deadlineAfter(now, holdTime(options, aim, deadline, now)), deadline) : Deadline{now};
    return bounds;
}

} // namespace agatedoor
