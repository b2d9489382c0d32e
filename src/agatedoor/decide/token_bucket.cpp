#include "agatedoor/decide/token_bucket.hpp"

#include <algorithm>

namespace agatedoor {

TokenBucket fullBucket(const TokenBucketOptions &options, TimePoint now)
{
    return {options.burst, now};
}

void refill(TokenBucket &bucket, const TokenBucketOptions &options, TimePoint now)
{
    if (now <= bucket.refilledAt) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.refilledAt = now;
    deposit(bucket, options, seconds * options.tokensPerSecond);
}

bool take(TokenBucket &bucket, const TokenBucketOptions &options, double amount, TimePoint now)
{
    refill(bucket, options, now);
    if (bucket.tokens < amount) {
        return false;
    }
    bucket.tokens -= amount;
    return true;
}

void deposit(TokenBucket &bucket, const TokenBucketOptions &options, double amount)
{
    bucket.tokens = std::min(options.burst, bucket.tokens + amount);
}

} // namespace agatedoor
