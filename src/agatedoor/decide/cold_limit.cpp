#include "agatedoor/decide/cold_limit.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

TokenBucketOptions bucketOptions(double requestsPerSecond, const ColdLimitOptions &options)
{
    const double burst = requestsPerSecond * std::chrono::duration<double>(options.burst).count();
    return {requestsPerSecond, std::max(1.0, burst)};
}

} // namespace

void noteCold(ColdLimit &limit, Duration left, ColdSource source, TimePoint now)
{
    const bool wasCold = !expired(limit.coldUntil, now);
    const Deadline until = deadlineAfter(now, std::max(left, Duration::zero()));
    if (source == ColdSource::Reading || limit.coldUntil.at < until.at) {
        limit.coldUntil = until;
    }
    if (!wasCold) {
        limit.bucket = {0, now}; // What was sent to the warm backend server counts for the first moments.
    }
}

Duration coldSinceStart(UnixTime born, Duration coldTime, UnixTime now)
{
    const bool over = born.value <= 0 || now.value > born.value + coldTime / std::chrono::milliseconds(1);
    // A start that is still to come by this node's clock was just now.
    return over ? Duration::zero() : coldTime - std::chrono::milliseconds(std::max<std::int64_t>(0, now.value - born.value));
}

bool takeColdRequest(ColdLimit &limit, double requestsPerSecond, TimePoint now, const ColdLimitOptions &options)
{
    if (requestsPerSecond <= 0 || expired(limit.coldUntil, now)) {
        return true;
    }
    return take(limit.bucket, bucketOptions(requestsPerSecond, options), 1, now);
}

} // namespace agatedoor
