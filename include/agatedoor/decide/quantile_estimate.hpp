#pragma once

#include "agatedoor/base/time.hpp"

/// @brief Streaming estimate of one high quantile in constant memory; follows a shift within tens of samples.
namespace agatedoor {

/// @brief The quantile to estimate, and how far one sample moves the estimate.
struct QuantileOptions
{
    double level = 0.95; ///< Share of samples below the quantile.
    double step = 0.1; ///< Relative step: a sample moves the estimate up by step * level or down by step * (1 - level).
};

/// @brief State of an estimate.
struct QuantileEstimate
{
    Duration value{0}; ///< 0 before the first sample.
};

/// @brief Moves the estimate towards @p sample.
/// The elapsed time of an abandoned attempt is also a valid sample, as a lower bound of its response time.
void recordSample(QuantileEstimate &estimate, const QuantileOptions &options, Duration sample);

} // namespace agatedoor
