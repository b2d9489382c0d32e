#include "agatedoor/decide/quantile_estimate.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr Duration minEstimate = std::chrono::microseconds(10); ///< Keeps the estimate positive, as 0 means that there is none.

} // namespace

void recordSample(QuantileEstimate &estimate, const QuantileOptions &options, Duration sample)
{
    if (estimate.value <= Duration::zero()) {
        estimate.value = std::max(sample, minEstimate);
        return;
    }
    const bool above = sample > estimate.value;
    const double factor = above ? 1.0 + options.step * options.level : 1.0 - options.step * (1.0 - options.level);
    const auto moved = std::chrono::duration<double, Duration::period>(estimate.value) * factor;
    estimate.value = std::max(minEstimate, std::chrono::duration_cast<Duration>(moved));
}

} // namespace agatedoor
