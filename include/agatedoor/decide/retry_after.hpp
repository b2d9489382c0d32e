#pragma once

#include "agatedoor/base/outcome.hpp"
#include "agatedoor/base/random.hpp"
#include "agatedoor/base/time.hpp"

/// @brief Time after which a caller whose request did not run should try again.
namespace agatedoor {

/// @brief Delays that callers are asked to wait.
struct RetryAfterOptions
{
    Duration otherDelay
        = std::chrono::milliseconds(50); ///< After a refusal for another reason than load, which another node won't repeat, nor this one a moment later.
    Duration minLoadDelay = std::chrono::milliseconds(100); ///< Shortest delay after a refusal because of load.
    Duration maxLoadDelay
        = std::chrono::milliseconds(400); ///< Longest delay after a refusal because of load; delays are random, so that callers don't retry at the same time.
};

/// @brief Time to wait after a refusal with @p reason.
Duration retryAfter(Reason reason, Random &random, const RetryAfterOptions &options = {});

/// @brief Time to wait when there is expected to be room after @p untilRoom: never at once, and up to a quarter longer than that or
/// @p limit, whichever is shorter, since several owning nodes may name the same moment.
Duration retryAfterRoom(Duration untilRoom, Duration limit, Random &random, const RetryAfterOptions &options = {});

} // namespace agatedoor
