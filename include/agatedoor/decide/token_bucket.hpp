#pragma once

#include "agatedoor/base/time.hpp"

/// @brief Token bucket for rate limits.
namespace agatedoor {

/// @brief Rate and burst of a bucket.
struct TokenBucketOptions
{
    double tokensPerSecond = 0; ///< Refill rate.
    double burst = 0; ///< Largest number of tokens held.
};

/// @brief State of a bucket.
struct TokenBucket
{
    double tokens = 0; ///< Tokens held at refilledAt.
    TimePoint refilledAt; ///< Time of the last refill.
};

/// @brief Full bucket at @p now.
TokenBucket fullBucket(const TokenBucketOptions &options, TimePoint now);

/// @brief Adds the tokens for the time from the last refill to @p now; does nothing when @p now is not later.
void refill(TokenBucket &bucket, const TokenBucketOptions &options, TimePoint now);

/// @brief Refills the bucket, then takes @p amount tokens if it holds that many.
/// @return false when it holds fewer; no tokens are taken then
bool take(TokenBucket &bucket, const TokenBucketOptions &options, double amount, TimePoint now);

/// @brief Adds @p amount tokens, up to the burst.
void deposit(TokenBucket &bucket, const TokenBucketOptions &options, double amount);

} // namespace agatedoor
