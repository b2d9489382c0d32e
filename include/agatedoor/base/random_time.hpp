#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/base/time.hpp"

/// @brief Random spans of time.
namespace agatedoor {

/// @brief Uniform time from zero up to @p most.
Duration uniformTime(Random &random, Duration most);

} // namespace agatedoor
