#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/base/time.hpp"

/// @brief Random durations.
namespace agatedoor {

/// @brief Uniform duration in [0, @p max).
Duration uniformTime(Random &random, Duration max);

} // namespace agatedoor
