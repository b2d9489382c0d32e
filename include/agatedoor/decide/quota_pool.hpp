#pragma once

#include "agatedoor/base/boot_time.hpp"
#include "agatedoor/base/ids.hpp"

#include <cstdint>
#include <deque>
#include <map>

/// @brief The granter's side of quotas that hold over the whole fleet: shares that members lend, and the tokens granted out of them.
///
/// Answers the pattern of a customer that sends many times its usual at any nodes. Each of N members holds 1/N of every quota and lends it to one granter at
/// a time, so granters that don't know of each other never grant more than the whole. Functions over plain state with injected time.
namespace agatedoor {

/// @brief Identifies a customer in messages between nodes: a hash of its name.
using CustomerKey = Counter<struct CustomerKeyTag>;

/// @brief Key of the customer with this name, the same on all nodes.
CustomerKey customerKeyOf(const CustomerName &name);

/// @brief Quota of one customer over all nodes.
struct Quota
{
    double perSecond = 0; ///< Requests per second.
    double burst = 0; ///< Requests that it allows at once.
};

/// @brief Tokens that were granted and, as far as the granter knows, not used yet.
struct OutstandingTokens
{
    BootTime until; ///< By then the holder has dropped them, and told so.
    double count = 0;
};

/// @brief Bucket of one customer.
struct PoolBucket
{
    double tokens = 0;
    double shareSeconds = 0; ///< Value of QuotaPool::shareSeconds when it was last filled.
    std::deque<OutstandingTokens> outstanding;
    double unmet = 0; ///< Tokens that were asked for last and couldn't be granted.
};

/// @brief State of a granter.
struct QuotaPool
{
    std::map<NodeId, BootTime> loans; ///< Until when each member has lent its share.
    double members = 1; ///< Members among which the quotas are divided.
    double shareSeconds = 0; ///< Integral over time of the share that is lent; 0 when no loan is left.
    BootTime advancedAt;
    /// Empty at first, and again when no loan is left, so that a granter gives nothing that another one may give meanwhile.
    std::map<CustomerKey, PoolBucket> buckets;
};

/// @brief Limits of a granter.
struct QuotaPoolOptions
{
    /// A bucket holds at least one token as long as this share is lent, so that small customers are served too.
    double leastShareForToken = 0.1;
    double plentyShare = 0.25; ///< Tokens beyond an immediate need are granted out of a bucket that holds more than this share of the burst.
};

/// @brief What a node asks for one customer.
struct QuotaNeed
{
    CustomerKey customer;
    std::uint32_t wanted = 0; ///< Tokens for requests that wait.
    std::uint32_t reserve = 0; ///< Tokens for requests that it expects.
    std::uint32_t returned = 0; ///< Granted tokens that it has dropped unused.
    std::uint32_t used = 0; ///< Granted tokens that requests have taken.

    friend bool operator==(const QuotaNeed &, const QuotaNeed &) = default;
};

/// @brief The granter's reply for one customer.
struct QuotaGrant
{
    CustomerKey customer;
    std::uint32_t tokens = 0;
    std::chrono::milliseconds nextIn{0}; ///< When there may be a token, if fewer were granted than wanted.

    friend bool operator==(const QuotaGrant &, const QuotaGrant &) = default;
};

/// @brief Lets time pass up to @p now: ends loans whose time is over.
/// @param members members among which the quotas are divided from now on
void advancePool(QuotaPool &pool, std::size_t members, BootTime now);

/// @brief Records that @p node lends its share until @p until. Call advancePool() first.
void recordLoan(QuotaPool &pool, const NodeId &node, BootTime until);

/// @brief Share of all quotas that is lent, 0 to 1.
double lentShare(const QuotaPool &pool);

/// @brief Answers a need out of the customer's bucket. Call advancePool() first.
/// @param tokenTime how long a granted token may be used at most
QuotaGrant grantTokens(QuotaPool &pool, const QuotaNeed &need, const Quota &quota, Duration tokenTime, BootTime now, const QuotaPoolOptions &options = {});

} // namespace agatedoor
