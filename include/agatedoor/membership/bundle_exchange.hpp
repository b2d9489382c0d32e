#pragma once

#include "agatedoor/decide/token_bucket.hpp"
#include "agatedoor/membership/membership.hpp"
#include "agatedoor/release/bundle_controller.hpp"
#include "agatedoor/release/bundle_fetch.hpp"
#include "agatedoor/release/bundle_history.hpp"

/// @brief Distribution of bundles between nodes, as functions over plain state: a node that hears of a newer generation asks the
/// peer that announced it. The reply carries the difference from the bundle that the asking node has, so that a change costs what it
/// changes, however large the configuration is.
namespace agatedoor {

/// @brief Limits of the exchange.
struct BundleExchangeOptions
{
    std::size_t representativesPerRegion = 2; ///< Nodes of a region that ask other regions for a bundle without waiting first.
    /// Bytes per second and burst. Bundles are few and large, so they have a budget separate from that of other messages.
    TokenBucketOptions budget{2'000'000, 4'000'000};
    std::size_t maxTextBytes = 1'048'576; ///< Greatest text that a reply may unpack to: the greatest value of the platform's store.
};

/// @brief State of one node.
struct BundleExchange
{
    BundleExchangeOptions options;
    BundleFetch fetch;
    BundleHistory history; ///< Bundles that replies are packed against.
    /// Packed texts of the generation below, by the digest they are packed against, since many nodes ask for the same.
    std::map<BundleDigest, std::string> packedTexts;
    Generation packedGeneration;
    bool wholeTextWanted = false; ///< The last packed reply couldn't be applied.
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

/// @brief Notes that @p inForce is in force on this node, so that later bundles can be packed against it.
void recordInForce(BundleExchange &exchange, const BundleInForce &inForce);

/// @brief The bundle text that @p reply carries.
/// @return none when it can't be restored, because it is damaged or was packed against a text that is no longer kept
std::optional<std::string> textOf(const BundleExchange &exchange, const PeerMessage &reply);

/// @brief Notes that @p reply was refused, so that the next request asks for a whole text, or is delayed if this one was whole.
void recordRefusedReply(BundleExchange &exchange, const PeerMessage &reply, TimePoint now);

/// @brief The reply to @p request; none when @p inForce isn't newer than what the peer has.
std::optional<BundleAnswer> answerBundleRequest(BundleExchange &exchange, const PeerMessage &request, const BundleInForce &inForce, const MemberRecord &self,
                                                TimePoint now);

} // namespace agatedoor
