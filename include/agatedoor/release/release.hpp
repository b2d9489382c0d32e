#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/state/config_error.hpp"
#include "agatedoor/state/store.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// @brief Sign-off and roll-out of bundles by operators, and the records they keep in the store.
namespace agatedoor {

/// @brief Names the bundle in force, its generation, and the operation that rolled it out.
struct HeadRecord
{
    Generation generation;
    BundleDigest digest;
    OperationId operation;
    std::string operatorName;

    friend bool operator==(const HeadRecord &, const HeadRecord &) = default;
};

/// @brief A signed-off bundle; never modified once stored.
struct SignedBundle
{
    BundleDigest digest;
    OperationId operation;
    std::string operatorName;
    std::string text;

    friend bool operator==(const SignedBundle &, const SignedBundle &) = default;
};

/// @brief The acting operator and the id of the operation, which makes repeated calls idempotent.
struct Operator
{
    std::string name;
    OperationId operation;
};

/// @brief The bundle to roll out.
struct RollOutRequest
{
    BundleDigest digest;
    std::optional<Generation> expected; ///< Generation that must be in force; any when absent.
};

/// @brief Deadlines of a write and of its resolution: the write's is earlier, so that time is left to find out whether a write
/// whose response was lost was committed.
struct WriteDeadlines
{
    Deadline write;
    Deadline resolve;
};

/// @brief Gives half of the time until @p latest to the write and the rest to resolving a lost response.
WriteDeadlines splitDeadline(TimePoint now, Deadline latest);

/// @brief A concurrent roll-out changed the head first.
struct RollOutConflict
{
    HeadRecord winner;
};

/// @brief The generation in force isn't the expected one; nothing was written.
struct GenerationMismatch
{
    Generation expected;
    Generation found;
};

/// @brief This operation id was already committed with a different bundle.
struct OperationReused
{
    HeadRecord landed;
};

/// @brief The operation wasn't committed, and its record in the store makes a delayed write of it fail.
struct OperationAbandoned
{
    OperationId operation;
};

/// @brief No bundle with this digest is signed off.
struct NotSignedOff
{
    BundleDigest digest;
};

/// @brief A record in the store is missing, can't be decoded, or contradicts its key or checksum.
struct DamagedRecord
{
    std::string key;
};

/// @brief Whether the roll-out was committed is unknown; look the operation up later.
struct OutcomeUnknown
{
    OperationId operation;
};

/// @brief Whether the bundle was stored is unknown; look the digest up later.
struct SignOffUnknown
{
    BundleDigest digest;
};

using ReleaseError = std::variant<ConfigError, StoreError, RollOutConflict, GenerationMismatch, OperationReused, OperationAbandoned, NotSignedOff,
                                  DamagedRecord, OutcomeUnknown, SignOffUnknown>;

/// @brief Digest of a signed-off bundle, and whether another operation had stored it before.
struct SignOffReply
{
    BundleDigest digest;
    bool alreadyStored = false;
};

/// @brief Validates a bundle and stores it under its digest. If another operation stored it before, records the repeated
/// sign-off, so that clean-up counts the bundle's age from it.
Result<SignOffReply, ReleaseError> signOff(const Store &store, const Operator &who, std::string_view text, std::string_view file,
                                           const WriteDeadlines &deadlines);

/// @brief Puts a signed-off bundle in force under the next generation.
/// An operation is committed at most once, even if the call is repeated with the same operation id.
Result<HeadRecord, ReleaseError> rollOut(const Store &store, const Operator &who, const RollOutRequest &request, const WriteDeadlines &deadlines);

/// @brief Reads the head record; none if nothing was rolled out yet.
Result<std::optional<HeadRecord>, ReleaseError> readHead(const Store &store, Deadline deadline);

/// @brief Reads the signed-off bundle with this digest and verifies it.
Result<SignedBundle, ReleaseError> readSignedBundle(const Store &store, const BundleDigest &digest, Deadline deadline);

/// @brief Outcome of an operation as recorded in the store.
struct OperationRecord
{
    std::optional<HeadRecord> landed; ///< Head that the operation committed; none if it was abandoned.
};

/// @brief Reads the record of an operation. No record proves nothing, since a delayed write may still be committed.
Result<std::optional<OperationRecord>, ReleaseError> findOperation(const Store &store, const OperationId &operation, Deadline deadline);

/// @brief Makes the outcome of an operation final: returns its record, or writes one that marks it as abandoned,
/// so that a delayed write of it fails.
Result<OperationRecord, ReleaseError> settleOperation(const Store &store, const OperationId &operation, Deadline deadline);

/// @brief Key of the head record.
inline constexpr std::string_view headKey = "/agatedoor/head";
/// @brief Prefix of the keys of signed-off bundles.
inline constexpr std::string_view bundlePrefix = "/agatedoor/bundles/";
/// @brief Prefix of the keys of roll-out operations.
inline constexpr std::string_view operationPrefix = "/agatedoor/operations/";
/// @brief Prefix of the keys of past heads, one for each generation.
inline constexpr std::string_view generationPrefix = "/agatedoor/generations/";

/// @brief Prefix of the keys that are written when a stored bundle is signed off again; their revision tells when.
inline constexpr std::string_view renewalPrefix = "/agatedoor/renewals/";

std::string bundleKey(const BundleDigest &digest);
std::string renewalKey(const BundleDigest &digest);
std::string operationKey(const OperationId &operation);
/// @brief Key of a generation's record; zero-padded, so that keys sort by generation.
std::string generationKey(Generation generation);

std::string encodeHead(const HeadRecord &head);
std::optional<HeadRecord> decodeHead(std::string_view bytes);
std::string encodeSignedBundle(const SignedBundle &bundle);
std::optional<SignedBundle> decodeSignedBundle(std::string_view bytes);
/// @brief Encodes the record of an abandoned operation, which makes a delayed write of it fail.
std::string encodeAbandonedOperation(const OperationId &operation);
std::optional<OperationRecord> decodeOperation(std::string_view bytes);

} // namespace agatedoor
