#include "agatedoor/messages/agatedoor.pb.h"
#include "agatedoor/release/release.hpp"
#include "agatedoor/state/bundle.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::size_t generationDigits = 20;

/// Covers every field, so that a corrupted record can't be read as another generation.
std::string checksumOf(const messages::Head &message)
{
    const std::string fields = std::to_string(message.generation()) + "\n" + message.digest() + "\n" + message.operation() + "\n" + message.operator_name()
        + "\n" + (message.abandoned() ? "abandoned" : "landed");
    return digestOf(fields).value;
}

std::string serializeWithChecksum(messages::Head message)
{
    message.set_checksum(checksumOf(message));
    return message.SerializeAsString();
}

std::optional<messages::Head> parseVerified(std::string_view bytes)
{
    messages::Head message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.checksum() != checksumOf(message)) {
        return std::nullopt;
    }
    return message;
}

} // namespace

std::string bundleKey(const BundleDigest &digest)
{
    return std::string(bundlePrefix) + digest.value;
}

std::string renewalKey(const BundleDigest &digest)
{
    return std::string(renewalPrefix) + digest.value;
}

std::string operationKey(const OperationId &operation)
{
    return std::string(operationPrefix) + operation.value;
}

std::string generationKey(Generation generation)
{
    const std::string digits = std::to_string(generation.value);
    return std::string(generationPrefix) + std::string(generationDigits - std::min(generationDigits, digits.size()), '0') + digits;
}

std::string encodeHead(const HeadRecord &head)
{
    messages::Head message;
    message.set_generation(head.generation.value);
    message.set_digest(head.digest.value);
    message.set_operation(head.operation.value);
    message.set_operator_name(head.operatorName);
    return serializeWithChecksum(std::move(message));
}

std::optional<HeadRecord> decodeHead(std::string_view bytes)
{
    const auto message = parseVerified(bytes);
    if (!message || message->abandoned() || message->generation() == 0 || message->digest().empty()) {
        return std::nullopt;
    }
    return HeadRecord{{message->generation()}, {message->digest()}, {message->operation()}, message->operator_name()};
}

std::string encodeAbandonedOperation(const OperationId &operation)
{
    messages::Head message;
    message.set_operation(operation.value);
    message.set_abandoned(true);
    return serializeWithChecksum(std::move(message));
}

std::optional<OperationRecord> decodeOperation(std::string_view bytes)
{
    const auto message = parseVerified(bytes);
    if (message && message->abandoned()) {
        return OperationRecord{};
    }
    auto head = decodeHead(bytes);
    return head ? std::optional(OperationRecord{std::move(head)}) : std::nullopt;
}

std::string encodeSignedBundle(const SignedBundle &bundle)
{
    messages::SignedBundle message;
    message.set_digest(bundle.digest.value);
    message.set_operation(bundle.operation.value);
    message.set_operator_name(bundle.operatorName);
    message.set_text(bundle.text);
    return message.SerializeAsString();
}

std::optional<SignedBundle> decodeSignedBundle(std::string_view bytes)
{
    messages::SignedBundle message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.digest().empty()) {
        return std::nullopt;
    }
    return SignedBundle{{message.digest()}, {message.operation()}, message.operator_name(), message.text()};
}

} // namespace agatedoor
