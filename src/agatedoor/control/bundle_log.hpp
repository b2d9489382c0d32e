#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/release/bundle_controller.hpp"

/// @brief Logs how configuration bundles reach this node and the result of applying them.
namespace agatedoor {

/// @brief Where a bundle came from.
struct BundleOrigin
{
    NodeId peer; ///< The node that sent it; empty when the node read it from the store.
    std::size_t bytes = 0; ///< Size of the message, or of the store's value, that brought it.
    Duration behind{}; ///< Time for which this node knew that its peers had a newer generation than its own.
};

/// @brief Logs that the bundle of @p head was applied, with what it holds, or the kind of error for which it was refused.
/// A stale generation is logged at debug level only.
/// @param inForce what is in force after the attempt
void logBundleResult(const HeadRecord &head, const BundleOrigin &origin, const Result<Generation, ApplyError> &applied, const BundleInForce &inForce);

/// @brief Logs that this node asked @p peer for a generation that the peer announced.
void logBundleRequest(Generation announced, const NodeId &peer, bool sameRegion);

/// @brief Logs that this node answered a request for its bundle with a message of @p bytes, or left it unanswered because its
/// budget for bundles is spent.
void logBundleReply(Generation inForce, const NodeId &peer, std::size_t bytes, bool sent);

} // namespace agatedoor
