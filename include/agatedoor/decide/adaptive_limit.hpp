#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/base/units.hpp"

/// @brief Concurrency limit that drops below the announced slots while a backend server responds slower than its baseline.
///
/// After each window, the mean service time is compared with a slowly moving baseline. Once the mean exceeds the baseline
/// times the tolerance, the limit is multiplied by how far it is exceeded; otherwise the limit grows by one slot. The
/// baseline follows the mean, so a lasting change in service time becomes the new baseline.
namespace agatedoor {

/// @brief State kept from one window to the next.
struct AdaptiveLimit
{
    double limit = 0; ///< Concurrent requests; 0 before the first window.
    Duration baseline{0}; ///< Slowly moving mean service time; 0 before the first window.
};

/// @brief Parameters of the adaptation.
struct AdaptiveLimitOptions
{
    double tolerance = 2.0; ///< Multiple of the baseline up to which a mean counts as normal variation.
    double minShrinkFactor = 0.7; ///< Smallest factor by which one window may multiply the limit.
    double minLimitShare = 0.25; ///< The limit never falls below this share of the announced slots.
    double baselineRiseWeight = 0.05; ///< Weight of a window slower than the baseline in the moving average.
    double baselineFallWeight = 0.3; ///< Weight of a window faster than the baseline in the moving average.
};

/// @brief State after a window with the mean service time @p mean; unchanged when @p mean is not positive.
AdaptiveLimit adaptLimit(const AdaptiveLimit &state, Duration mean, Slots announced, const AdaptiveLimitOptions &options);

/// @brief Limit of @p state in whole slots: at least 1, at most @p announced.
Slots limitInSlots(const AdaptiveLimit &state, Slots announced);

} // namespace agatedoor
