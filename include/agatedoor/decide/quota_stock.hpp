#pragma once

#include "agatedoor/decide/quota_pool.hpp"

#include <optional>
#include <vector>

/// @brief A node's side of quotas that hold over the whole fleet: the tokens that a granter gave it. One token is one request.
///
/// Answers the pattern of callers of one customer that come to few nodes, and others that come to all: tokens are kept where they are used, and given back
/// where they aren't. Functions over plain state with injected time.
namespace agatedoor {

/// @brief Tokens that lapse together.
struct StockTokens
{
    BootTime until;
    std::uint32_t count = 0;
};

/// @brief What a node knows of one customer's quota.
struct CustomerStock
{
    std::deque<StockTokens> tokens; ///< Those that lapse first come first.
    std::uint32_t waiting = 0; ///< Requests that wait for a token.
    std::uint32_t asked = 0; ///< Those of them for which the granter has been asked and hasn't replied.
    std::uint32_t taken = 0; ///< Tokens taken since the last regular report.
    std::uint32_t used = 0; ///< Tokens taken that the granter hasn't been told of.
    double demand = 0; ///< Moving average of the tokens taken between reports.
    std::uint32_t refused = 0; ///< Requests refused since the last regular report because the quota was used up.
    double excess = 0; ///< Moving average of the requests refused for each one that got a token.
    std::uint32_t returned = 0; ///< Tokens that lapsed unused since the last report.
    BootTime usedAt; ///< Last request.
    BootTime emptyUntil; ///< By the granter's word there is no token before.
};

/// @brief A token that a request holds.
struct HeldToken
{
    BootTime until; ///< When it lapses.
    std::uint64_t granterChange = 0; ///< As in the stock when it was taken.
};

/// @brief State of one node.
struct QuotaStock
{
    std::uint64_t granterChange = 0; ///< Number of changes of the granter, to which the tokens belong.
    std::map<CustomerKey, CustomerStock> customers;
};

/// @brief Limits of the stock.
struct QuotaStockOptions
{
    Duration activeTime = std::chrono::seconds(3); ///< A customer without a request for this time needs no reserve.
    double demandWeight = 0.3; ///< Of the last interval in the averages.
    Duration leastSpread = std::chrono::milliseconds(300); ///< Refused callers come back spread over at least this time,
    Duration spreadPerExcess = std::chrono::seconds(1); ///< longer by this for each request refused for one that gets a token,
    Duration longestSpread = std::chrono::seconds(4); ///< and over this time at most.
};

/// @brief What a request for a token finds.
enum class TokenAnswer {
    Taken,
    Ask, ///< The granter has to be asked, and the request waits.
    Exceeded, ///< The quota is used up.
};

/// @brief Takes one token.
TokenAnswer takeToken(QuotaStock &stock, CustomerKey customer, BootTime now);

/// @brief Time over which the callers of refused requests are to come back.
/// Answers the pattern of refused callers that come back while their customer still sends far more than its quota: they are refused again, and each token
/// goes to whoever comes most often.
Duration returnSpread(const QuotaStock &stock, CustomerKey customer, const QuotaStockOptions &options = {});

/// @brief Puts a token back whose request did not run. It lapses with those that it came with at the latest. One of an earlier granter is dropped.
void putBack(QuotaStock &stock, CustomerKey customer, const HeldToken &token, BootTime now);

/// @brief The token that is taken next; one that lapses at @p now when there is none.
HeldToken nextToken(const QuotaStock &stock, CustomerKey customer, BootTime now);

/// @brief What to ask the granter for, and what goes back to it; begins the next interval if @p regular.
/// @param regular the report of an interval, and not one for requests that wait
std::vector<QuotaNeed> needsOf(QuotaStock &stock, bool regular, BootTime now, const QuotaStockOptions &options = {});

/// @brief Adds granted tokens, which lapse at @p until.
void addTokens(QuotaStock &stock, const QuotaGrant &grant, BootTime until, BootTime now);

/// @brief Drops all tokens, for instance when the granter changes.
void dropTokens(QuotaStock &stock);

} // namespace agatedoor
