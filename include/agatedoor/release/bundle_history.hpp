#pragma once

#include "agatedoor/release/bundle_controller.hpp"

#include <deque>
#include <string>

/// @brief Texts of the bundles that were in force last, against which newer ones are packed.
namespace agatedoor {

/// @brief A bundle that was in force.
struct RecentBundle
{
    HeadRecord head;
    std::string text;
};

/// @brief Limits of the history. The newest bundle is always kept.
struct BundleHistoryOptions
{
    std::size_t maxBundles = 8;
    std::size_t maxBytes = 4'000'000;
};

/// @brief Recent bundles, newest last.
struct BundleHistory
{
    BundleHistoryOptions options;
    std::deque<RecentBundle> bundles;
    std::size_t bytes = 0; ///< Size of their texts.
};

/// @brief Adds @p inForce unless its generation is there already, and drops the oldest beyond the limits.
void recordBundle(BundleHistory &history, const BundleInForce &inForce);

/// @brief The bundle with this digest, or null.
const RecentBundle *findBundle(const BundleHistory &history, const BundleDigest &digest);

} // namespace agatedoor
