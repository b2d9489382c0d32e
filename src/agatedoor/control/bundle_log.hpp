#pragma once

#include "agatedoor/release/bundle_controller.hpp"

/// @brief Logs the result of applying a configuration bundle.
namespace agatedoor {

/// @brief Logs that the bundle of @p head was applied, or the kind of error for which it was refused.
/// A stale generation is logged at debug level only.
void logBundleResult(const HeadRecord &head, const Result<Generation, ApplyError> &applied);

} // namespace agatedoor
