#include "agatedoor/release/bundle_history.hpp"

#include <algorithm>

namespace agatedoor {

void recordBundle(BundleHistory &history, const BundleInForce &inForce)
{
    const bool known = !history.bundles.empty() && history.bundles.back().head.generation >= inForce.head.generation;
    if (known || inForce.head.generation.value == 0) {
        return;
    }
    history.bundles.push_back({inForce.head, inForce.text});
    history.bytes += inForce.text.size();
    const auto &options = history.options;
    while (history.bundles.size() > 1 && (history.bundles.size() > options.maxBundles || history.bytes > options.maxBytes)) {
        history.bytes -= history.bundles.front().text.size();
        history.bundles.pop_front();
    }
}

const RecentBundle *findBundle(const BundleHistory &history, const BundleDigest &digest)
{
    const auto found
        = std::find_if(history.bundles.begin(), history.bundles.end(), [&digest](const RecentBundle &bundle) { return bundle.head.digest == digest; });
    return found == history.bundles.end() ? nullptr : &*found;
}

} // namespace agatedoor
