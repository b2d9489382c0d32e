#include "agatedoor/release/bundle_controller.hpp"

namespace agatedoor {

Result<Generation, ApplyError> BundleController::apply(const HeadRecord &head, std::string_view text)
{
    const BundleDigest found = digestOf(text);
    if (found != head.digest) {
        return ApplyError{DigestMismatch{head.digest, found}};
    }
    auto parsed = m_parse(text, "bundle " + head.digest.value);
    if (!parsed) {
        return ApplyError{parsed.error()};
    }
    auto next = std::make_shared<const BundleInForce>(BundleInForce{head, std::string(text), std::move(parsed).value()});
    const std::lock_guard lock(m_publishing);
    const Generation inForce = m_inForce.current()->head.generation;
    if (head.generation <= inForce) {
        return ApplyError{StaleGeneration{head.generation, inForce}};
    }
    m_inForce.publish(std::move(next));
    return head.generation;
}

} // namespace agatedoor
