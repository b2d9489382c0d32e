#include "agatedoor/decide/retry_after.hpp"

#include "agatedoor/base/random_time.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

bool refusedForLoad(Reason reason)
{
    switch (reason) {
    case Reason::QueueFull:
    case Reason::DeadlineTooShort:
    case Reason::ConnectionLimit:
    case Reason::BackendShed:
    case Reason::BackendSlow:
    case Reason::NoFreeSlot:
    case Reason::MemoryLimit:
    case Reason::RetriesExhausted:
        return true;
    default:
        return false;
    }
}

} // namespace

Duration retryAfter(Reason reason, Random &random, const RetryAfterOptions &options)
{
    if (!refusedForLoad(reason)) {
        return options.otherDelay;
    }
    const auto spread = (options.maxLoadDelay - options.minLoadDelay) * uniformUnit(random);
    return options.minLoadDelay + std::chrono::duration_cast<Duration>(spread);
}

Duration retryAfterRoom(Duration untilRoom, Duration limit, Random &random, const RetryAfterOptions &options)
{
    constexpr int spreadDivisor = 4;
    const Duration wait = std::max(std::min(untilRoom, limit), options.minLoadDelay);
    return wait + uniformTime(random, wait / spreadDivisor);
}

} // namespace agatedoor
