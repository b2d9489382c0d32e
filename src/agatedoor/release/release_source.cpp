#include "agatedoor/release/release_source.hpp"

#include "agatedoor/release/evacuations.hpp"

namespace agatedoor {

namespace {

Result<std::string, ReleaseError> signedText(const Store &store, const HeadRecord &head, Deadline deadline)
{
    BOOST_OUTCOME_TRY(SignedBundle bundle, readSignedBundle(store, head.digest, deadline));
    return std::move(bundle.text);
}

} // namespace

ReleaseSource signedReleases()
{
    ReleaseSource source;
    source.key = headKey;
    source.prefix = headKey;
    source.evacuations = evacuationPrefix;
    source.head = [](std::string_view value) { return decodeHead(value); };
    source.text = [](const Store &store, const HeadRecord &head, const std::string &, Deadline deadline) { return signedText(store, head, deadline); };
    source.parse = parseBundle;
    return source;
}

} // namespace agatedoor
