#include "agatedoor/decide/key_check.hpp"

namespace agatedoor {

namespace {

bool isRecent(const std::optional<Duration> &age, Duration limit)
{
    return age && *age <= limit;
}

} // namespace

KeyVerdict checkKey(const KeyContext &view, const KeyCheckOptions &options)
{
    if (view.customerKnown) {
        const bool mayBeRevoked = options.revokeLimit > Duration::zero() && !isRecent(view.bundleAge, options.revokeLimit);
        return mayBeRevoked ? KeyVerdict::RefuseOutdated : KeyVerdict::Serve;
    }
    if (!view.keyNeeded) {
        return KeyVerdict::Serve;
    }
    return isRecent(view.bundleAge, options.unknownKeyLimit) ? KeyVerdict::RefuseUnknown : KeyVerdict::RefuseOutdated;
}

} // namespace agatedoor
