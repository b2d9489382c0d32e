#include "agatedoor/decide/request_limit.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

TokenBucketOptions bucketOptions(const RequestLimit &limit, const RequestLimitOptions &options)
{
    const double burst = limit.rate * std::chrono::duration<double>(options.burst).count();
    return {limit.rate, std::max(1.0, burst)};
}

/// A new limit starts without tokens: the requests that are on their way already used them.
void setRate(RequestLimit &limit, double named, TimePoint now, const RequestLimitOptions &options)
{
    const double rate = named > options.maxRate ? 0 : std::max(named, options.minRate);
    if (limit.rate <= 0) {
        limit.bucket = {0, now};
    } else {
        refill(limit.bucket, bucketOptions(limit, options), now);
    }
    limit.rate = rate;
    limit.bucket.tokens = std::min(limit.bucket.tokens, bucketOptions(limit, options).burst);
}

} // namespace

void applyNotice(RequestLimit &limit, const LimitNotice &notice, TimePoint now, const RequestLimitOptions &options)
{
    limit.heard = true;
    if (notice.rate) {
        setRate(limit, *notice.rate, now, options);
        limit.namedAt = now;
        return;
    }
    if (notice.requestSentAt >= limit.namedAt) {
        limit.rate = 0;
    }
}

void adoptRate(RequestLimit &limit, double rate, TimePoint now, const RequestLimitOptions &options)
{
    if (!limit.heard && limit.rate <= 0) {
        setRate(limit, rate, now, options);
        limit.namedAt = now;
    }
}

bool takeRequest(RequestLimit &limit, TimePoint now, const RequestLimitOptions &options)
{
    return limit.rate <= 0 || take(limit.bucket, bucketOptions(limit, options), 1, now);
}

void returnRequest(RequestLimit &limit, const RequestLimitOptions &options)
{
    if (limit.rate > 0) {
        deposit(limit.bucket, bucketOptions(limit, options), 1);
    }
}

} // namespace agatedoor
