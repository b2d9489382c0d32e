#pragma once

#include "agatedoor/decide/token_bucket.hpp"
#include "agatedoor/membership/membership.hpp"
#include "agatedoor/release/bundle_controller.hpp"
#include "agatedoor/release/bundle_fetch.hpp"

/// @brief Distribution of bundles between nodes, as functions over plain state: a node that hears of a newer generation asks the
/// peer that announced it.
namespace agatedoor {

/// @brief Limits of the exchange.
struct BundleExchangeOptions
{
    std::size_t representativesPerRegion = 2; ///< Nodes of a region that ask other regions for a bundle without waiting first.
    /// Bytes per second and burst. Bundles are few and large, so they have a budget separate from that of other messages.
    TokenBucketOptions budget{2'000'000, 4'000'000};
};

/// @brief State of one node.
struct BundleExchange
{
    BundleExchangeOptions options;
    BundleFetch fetch;
    TokenBucket budget;
};

/// @brief A reply to a bundle request, ready to be sent.
struct BundleAnswer
{
    std::string bytes;
    bool withinBudget = false; ///< If not, the reply must not be sent; the peer asks again.
};

/// @brief Initial state.
BundleExchange startBundleExchange(const BundleExchangeOptions &options, TimePoint now);

/// @brief The request to send to the sender of @p announcement, if that peer has a newer generation than @p inForce and may be asked now.
std::optional<PeerMessage> requestBundle(BundleExchange &exchange, const PeerMessage &announcement, const BundleInForce &inForce, const Membership &membership,
                                         TimePoint now);

/// @brief The reply to @p request; none when @p inForce isn't newer than what the peer has.
std::optional<BundleAnswer> answerBundleRequest(BundleExchange &exchange, const PeerMessage &request, const BundleInForce &inForce, const MemberRecord &self,
                                                TimePoint now);

} // namespace agatedoor
