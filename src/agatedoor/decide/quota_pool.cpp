#include "agatedoor/decide/quota_pool.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds longestNextIn{1000}; ///< Then the granter is asked again: it may have been lent more.
constexpr std::chrono::milliseconds nextLook{200}; ///< The same while it has been lent nothing.

double inSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Adds the share that was lent until @p now.
void integrate(QuotaPool &pool, BootTime now)
{
    if (now > pool.advancedAt) {
        pool.shareSeconds += lentShare(pool) * inSeconds(now - pool.advancedAt);
        pool.advancedAt = now;
    }
}

double dropExpired(PoolBucket &bucket, BootTime now)
{
    std::erase_if(bucket.outstanding, [now](const OutstandingTokens &tokens) { return tokens.until <= now; });
    const auto add = [](double sum, const OutstandingTokens &tokens) { return sum + tokens.count; };
    return std::accumulate(bucket.outstanding.begin(), bucket.outstanding.end(), 0.0, add);
}

/// Most tokens that the bucket may hold: those that are granted and may still be used count against the burst.
double capacityOf(const Quota &quota, double share, double outstanding, const QuotaPoolOptions &options)
{
    const double least = share >= options.leastShareForToken ? std::min(1.0, quota.burst) : 0;
    return std::max(0.0, std::max(quota.burst * share, least) - outstanding);
}

void fill(PoolBucket &bucket, const QuotaPool &pool, const Quota &quota, double capacity)
{
    bucket.tokens = std::min(capacity, bucket.tokens + quota.perSecond * (pool.shareSeconds - bucket.shareSeconds));
    bucket.shareSeconds = pool.shareSeconds;
}

/// Ends the time of @p count outstanding tokens.
/// @return how many there were
double endOutstanding(PoolBucket &bucket, double count)
{
    double left = count;
    for (auto &tokens : bucket.outstanding) {
        const double ended = std::min(left, tokens.count);
        tokens.count -= ended;
        left -= ended;
    }
    return count - left;
}

/// Takes tokens back that their holder has dropped; those that are outstanding no longer are lost. Used ones free their place in the burst only.
void settle(PoolBucket &bucket, const QuotaNeed &need)
{
    endOutstanding(bucket, need.used);
    bucket.tokens += endOutstanding(bucket, need.returned);
}

/// Time until the bucket has a token for a request that comes after those that wait.
std::chrono::milliseconds timeToToken(const PoolBucket &bucket, const Quota &quota, double share)
{
    const double perSecond = quota.perSecond * share;
    const double missing = std::max(0.0, 1 + bucket.unmet - bucket.tokens);
    if (perSecond <= 0) {
        return nextLook;
    }
    const double milliseconds = std::min<double>(missing / perSecond * 1000, longestNextIn.count());
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(milliseconds)));
}

} // namespace

CustomerKey customerKeyOf(const CustomerName &name)
{
    return {XXH3_64bits(name.value.data(), name.value.size())};
}

double lentShare(const QuotaPool &pool)
{
    return std::min(1.0, static_cast<double>(pool.loans.size()) / pool.members);
}

void advancePool(QuotaPool &pool, std::size_t members, BootTime now)
{
    if (pool.advancedAt == BootTime{}) {
        pool.advancedAt = now;
    }
    for (;;) {
        const auto next = std::min_element(pool.loans.begin(), pool.loans.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        if (next == pool.loans.end() || next->second > now) {
            break;
        }
        integrate(pool, next->second);
        pool.loans.erase(next);
    }
    if (pool.loans.empty()) {
        pool.shareSeconds = 0;
        pool.buckets.clear();
    }
    integrate(pool, now);
    pool.members = static_cast<double>(std::max<std::size_t>(1, members));
}

void recordLoan(QuotaPool &pool, const NodeId &node, BootTime until)
{
    BootTime &known = pool.loans.try_emplace(node, until).first->second;
    known = std::max(known, until);
}

QuotaGrant grantTokens(QuotaPool &pool, const QuotaNeed &need, const Quota &quota, Duration tokenTime, BootTime now, const QuotaPoolOptions &options)
{
    const double share = lentShare(pool);
    PoolBucket &bucket = pool.buckets[need.customer];
    dropExpired(bucket, now);
    settle(bucket, need);
    const double capacity = capacityOf(quota, share, dropExpired(bucket, now), options);
    fill(bucket, pool, quota, capacity);
    double granted = std::min(std::floor(bucket.tokens), static_cast<double>(need.wanted));
    const double spare = std::floor(bucket.tokens - granted - options.plentyShare * quota.burst * share);
    granted += std::clamp(spare, 0.0, static_cast<double>(need.reserve));
    bucket.tokens -= granted;
    bucket.unmet = std::max(0.0, need.wanted - granted);
    if (granted > 0) {
        bucket.outstanding.push_back({now + 2 * tokenTime, granted}); // Longer than at the node, whose next report gives back what it didn't use.
    }
    QuotaGrant grant;
    grant.customer = need.customer;
    grant.tokens = static_cast<std::uint32_t>(granted);
    grant.nextIn = granted < need.wanted ? timeToToken(bucket, quota, share) : std::chrono::milliseconds(0);
    return grant;
}

} // namespace agatedoor
