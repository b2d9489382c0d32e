#include "agatedoor/decide/adaptive_limit.hpp"

#include <algorithm>
#include <cmath>

namespace agatedoor {

namespace {

/// Moves the baseline towards @p mean, by different weights up and down.
Duration updatedBaseline(Duration baseline, Duration mean, const AdaptiveLimitOptions &options)
{
    if (baseline == Duration::zero()) {
        return mean;
    }
    const double weight = mean > baseline ? options.baselineRiseWeight : options.baselineFallWeight;
    const double difference = static_cast<double>((mean - baseline).count());
    return baseline + Duration(static_cast<Duration::rep>(weight * difference));
}

/// Limit in effect before the window: all @p announced slots until the first adaptation.
double previousLimit(const AdaptiveLimit &state, double announced)
{
    return state.limit == 0 ? announced : std::min(state.limit, announced);
}

} // namespace

AdaptiveLimit adaptLimit(const AdaptiveLimit &state, Duration mean, Slots announced, const AdaptiveLimitOptions &options)
{
    if (mean <= Duration::zero()) {
        return state;
    }
    const auto maxLimit = static_cast<double>(announced.value);
    const double minLimit = std::max(1.0, maxLimit * options.minLimitShare);
    const double ratio = static_cast<double>(state.baseline.count()) * options.tolerance / static_cast<double>(mean.count());
    const bool slower = state.baseline > Duration::zero() && ratio < 1.0;
    const double limit = previousLimit(state, maxLimit);
    const double next = slower ? limit * std::max(ratio, options.minShrinkFactor) : limit + 1.0;
    return {std::clamp(next, std::min(minLimit, maxLimit), maxLimit), updatedBaseline(state.baseline, mean, options)};
}

Slots limitInSlots(const AdaptiveLimit &state, Slots announced)
{
    if (state.limit == 0) {
        return announced;
    }
    const auto whole = static_cast<std::int64_t>(std::floor(state.limit));
    return {std::clamp<std::int64_t>(whole, 1, std::max<std::int64_t>(1, announced.value))};
}

} // namespace agatedoor
