#include "agatedoor/release/release.hpp"

#include "agatedoor/state/bundle.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

using RollOutResult = Result<HeadRecord, ReleaseError>;

/// Finds the value of @p key in @p values; null if absent.
const StoreValue *findKey(const std::vector<StoreValue> &values, std::string_view key)
{
    const auto found = std::find_if(values.begin(), values.end(), [key](const StoreValue &value) { return value.key == key; });
    return found == values.end() ? nullptr : &*found;
}

Result<std::optional<StoreValue>, ReleaseError> readKey(const Store &store, const std::string &key, Deadline deadline)
{
    const auto reply = store.range(key, deadline);
    if (!reply) {
        return ReleaseError{reply.error()};
    }
    const StoreValue *found = findKey(reply.value().values, key);
    return found == nullptr ? std::optional<StoreValue>{} : std::optional(*found);
}

ReleaseError damagedRecord(std::string key)
{
    return DamagedRecord{std::move(key)};
}

/// A signed-off bundle together with its revision in the store.
struct StoredBundle
{
    SignedBundle bundle;
    Revision modRevision = 0;
};

Result<StoredBundle, ReleaseError> decodeVerifiedBundle(const StoreValue *stored, const BundleDigest &digest)
{
    if (stored == nullptr) {
        return ReleaseError{NotSignedOff{digest}};
    }
    auto bundle = decodeSignedBundle(stored->value);
    if (!bundle || bundle->digest != digest || digestOf(bundle->text) != digest) {
        return damagedRecord(stored->key);
    }
    return StoredBundle{std::move(*bundle), stored->modRevision};
}

Result<StoredBundle, ReleaseError> readStoredBundle(const Store &store, const BundleDigest &digest, Deadline deadline)
{
    BOOST_OUTCOME_TRY(const auto stored, readKey(store, bundleKey(digest), deadline));
    return decodeVerifiedBundle(stored ? &*stored : nullptr, digest);
}

/// The head record together with what the store holds; both empty before the first roll-out.
struct StoredHead
{
    std::optional<HeadRecord> head;
    std::optional<StoreValue> stored;
};

Result<StoredHead, ReleaseError> readStoredHead(const Store &store, Deadline deadline)
{
    BOOST_OUTCOME_TRY(const auto stored, readKey(store, std::string(headKey), deadline));
    if (!stored) {
        return StoredHead{};
    }
    auto head = decodeHead(stored->value);
    if (!head) {
        return damagedRecord(std::string(headKey));
    }
    return StoredHead{std::move(head), stored};
}

RollOutResult resultOf(const OperationRecord &record, const OperationId &operation, const BundleDigest &digest)
{
    if (!record.landed) {
        return ReleaseError{OperationAbandoned{operation}};
    }
    if (record.landed->digest != digest) {
        return ReleaseError{OperationReused{*record.landed}};
    }
    return *record.landed;
}

/// The head that a roll-out writes and what must be unchanged for it.
struct RollOutPlan
{
    HeadRecord next;
    std::optional<StoreValue> head;
    Revision bundleRevision = 0;
};

/// Condition that the head is still the one that the plan was made from, by its content too.
StoreCondition headUnchanged(const RollOutPlan &plan)
{
    if (!plan.head) {
        return {std::string(headKey), 0};
    }
    return {std::string(headKey), plan.head->modRevision, plan.head->value};
}

bool isUnchanged(const RollOutPlan &plan, const StoreValue *head)
{
    if (head == nullptr || !plan.head) {
        return head == nullptr && !plan.head;
    }
    return head->modRevision == plan.head->modRevision && head->value == plan.head->value;
}

StoreTransaction transactionOf(const RollOutPlan &plan)
{
    const std::string bytes = encodeHead(plan.next);
    const std::string head(headKey);
    const std::string bundle = bundleKey(plan.next.digest);
    const std::string operation = operationKey(plan.next.operation);
    const std::string generation = generationKey(plan.next.generation);
    StoreTransaction transaction;
    transaction.conditions = {headUnchanged(plan), {bundle, plan.bundleRevision}, {operation, 0}, {generation, 0}};
    transaction.puts = {{head, bytes}, {operation, bytes}, {generation, bytes}};
    transaction.readsOnConflict = {head, bundle, operation, generation};
    return transaction;
}

/// Result when the head or generation changed: a conflict with its winner, or the result of this same operation.
RollOutResult conflictResult(const RollOutPlan &plan, const std::vector<StoreValue> &found)
{
    const StoreValue *generation = findKey(found, generationKey(plan.next.generation));
    const StoreValue *head = findKey(found, headKey);
    auto winner = generation == nullptr ? std::nullopt : decodeHead(generation->value);
    if (!winner && head != nullptr) {
        winner = decodeHead(head->value);
    }
    if (!winner || head == nullptr) {
        return damagedRecord(std::string(headKey));
    }
    if (winner->operation == plan.next.operation) {
        return resultOf({winner}, plan.next.operation, plan.next.digest);
    }
    return ReleaseError{RollOutConflict{*winner}};
}

/// Result when the bundle changed after it was read: removed, or removed and stored again, in which case a retry
/// can succeed.
RollOutResult bundleRejectionResult(const RollOutPlan &plan, const std::vector<StoreValue> &found)
{
    if (findKey(found, bundleKey(plan.next.digest)) == nullptr) {
        return ReleaseError{NotSignedOff{plan.next.digest}};
    }
    return ReleaseError{StoreError{StoreErrorKind::Rejected, 0}};
}

/// Result of a rejected write, derived from the values that the store read in the same transaction.
RollOutResult rejectionResult(const RollOutPlan &plan, const std::vector<StoreValue> &found)
{
    const std::string operation = operationKey(plan.next.operation);
    if (const StoreValue *stored = findKey(found, operation)) {
        const auto record = decodeOperation(stored->value);
        return record ? resultOf(*record, plan.next.operation, plan.next.digest) : RollOutResult(damagedRecord(operation));
    }
    const StoreValue *head = findKey(found, headKey);
    if (isUnchanged(plan, head) && findKey(found, generationKey(plan.next.generation)) == nullptr) {
        return bundleRejectionResult(plan, found);
    }
    return conflictResult(plan, found);
}

/// Settles the operation after a lost response. A look-up alone wouldn't do, because a delayed write could still be
/// committed after it.
RollOutResult resolveUnknownRollOut(const Store &store, const HeadRecord &attempted, Deadline deadline)
{
    const auto settled = settleOperation(store, attempted.operation, deadline);
    if (settled) {
        return resultOf(settled.value(), attempted.operation, attempted.digest);
    }
    return ReleaseError{OutcomeUnknown{attempted.operation}};
}

/// Runs an idempotent transaction and retries it once if its outcome is unknown.
StoreResult<TransactionReply> transactIdempotent(const Store &store, const StoreTransaction &transaction, const WriteDeadlines &deadlines)
{
    auto reply = store.transact(transaction, deadlines.write);
    if (reply || notApplied(reply.error())) {
        return reply;
    }
    auto retried = store.transact(transaction, deadlines.resolve);
    return retried ? retried : reply;
}

ReleaseError signOffErrorOf(const StoreError &error, const BundleDigest &digest)
{
    return notApplied(error) ? ReleaseError{error} : ReleaseError{SignOffUnknown{digest}};
}

/// Records another sign-off of a stored bundle, so that clean-up counts the bundle's age from now.
Result<SignOffReply, ReleaseError> recordRepeatedSignOff(const Store &store, const StoredBundle &stored, const OperationId &operation,
                                                         const WriteDeadlines &deadlines)
{
    const BundleDigest &digest = stored.bundle.digest;
    if (stored.bundle.operation == operation) {
        return SignOffReply{digest, false};
    }
    const StoreTransaction note{{{bundleKey(digest), stored.modRevision}}, {{renewalKey(digest), operation.value}}, {}, {}};
    const auto reply = transactIdempotent(store, note, deadlines);
    if (!reply) {
        return signOffErrorOf(reply.error(), digest);
    }
    if (!reply.value().applied) {
        return ReleaseError{NotSignedOff{digest}};
    }
    return SignOffReply{digest, true};
}

} // namespace

WriteDeadlines splitDeadline(TimePoint now, Deadline latest)
{
    return {deadlineAfter(now, remaining(latest, now) / 2), latest};
}

Result<SignOffReply, ReleaseError> signOff(const Store &store, const Operator &who, std::string_view text, std::string_view file,
                                           const WriteDeadlines &deadlines)
{
    const auto parsed = parseBundle(text, file);
    if (!parsed) {
        return ReleaseError{parsed.error()};
    }
    const SignedBundle bundle{digestOf(text), who.operation, who.name, std::string(text)};
    const std::string key = bundleKey(bundle.digest);
    const StoreTransaction create{{{key, 0}}, {{key, encodeSignedBundle(bundle)}}, {}, {key}};
    const auto reply = transactIdempotent(store, create, deadlines);
    if (!reply) {
        return signOffErrorOf(reply.error(), bundle.digest);
    }
    if (reply.value().applied) {
        return SignOffReply{bundle.digest, false};
    }
    BOOST_OUTCOME_TRY(const StoredBundle stored, decodeVerifiedBundle(findKey(reply.value().found, key), bundle.digest));
    return recordRepeatedSignOff(store, stored, who.operation, deadlines);
}

Result<HeadRecord, ReleaseError> rollOut(const Store &store, const Operator &who, const RollOutRequest &request, const WriteDeadlines &deadlines)
{
    BOOST_OUTCOME_TRY(const auto previous, findOperation(store, who.operation, deadlines.write));
    if (previous) {
        return resultOf(*previous, who.operation, request.digest);
    }
    BOOST_OUTCOME_TRY(const StoredBundle bundle, readStoredBundle(store, request.digest, deadlines.write));
    BOOST_OUTCOME_TRY(const StoredHead storedHead, readStoredHead(store, deadlines.write));
    const Generation inForce = storedHead.head ? storedHead.head->generation : Generation{};
    if (request.expected && *request.expected != inForce) {
        return ReleaseError{GenerationMismatch{*request.expected, inForce}};
    }
    const RollOutPlan plan{{{inForce.value + 1}, request.digest, who.operation, who.name}, storedHead.stored, bundle.modRevision};
    const auto reply = store.transact(transactionOf(plan), deadlines.write);
    if (reply) {
        return reply.value().applied ? RollOutResult(plan.next) : rejectionResult(plan, reply.value().found);
    }
    if (notApplied(reply.error())) {
        return ReleaseError{reply.error()};
    }
    return resolveUnknownRollOut(store, plan.next, deadlines.resolve);
}

Result<std::optional<HeadRecord>, ReleaseError> readHead(const Store &store, Deadline deadline)
{
    BOOST_OUTCOME_TRY(auto storedHead, readStoredHead(store, deadline));
    return std::move(storedHead.head);
}

Result<SignedBundle, ReleaseError> readSignedBundle(const Store &store, const BundleDigest &digest, Deadline deadline)
{
    BOOST_OUTCOME_TRY(auto stored, readStoredBundle(store, digest, deadline));
    return std::move(stored.bundle);
}

Result<std::optional<OperationRecord>, ReleaseError> findOperation(const Store &store, const OperationId &operation, Deadline deadline)
{
    BOOST_OUTCOME_TRY(const auto stored, readKey(store, operationKey(operation), deadline));
    if (!stored) {
        return std::optional<OperationRecord>{};
    }
    auto record = decodeOperation(stored->value);
    if (!record) {
        return damagedRecord(stored->key);
    }
    return record;
}

Result<OperationRecord, ReleaseError> settleOperation(const Store &store, const OperationId &operation, Deadline deadline)
{
    const std::string key = operationKey(operation);
    const StoreTransaction abandon{{{key, 0}}, {{key, encodeAbandonedOperation(operation)}}, {}, {key}};
    const auto reply = store.transact(abandon, deadline);
    if (!reply) {
        return notApplied(reply.error()) ? ReleaseError{reply.error()} : ReleaseError{OutcomeUnknown{operation}};
    }
    if (reply.value().applied) {
        return OperationRecord{};
    }
    const StoreValue *stored = findKey(reply.value().found, key);
    const auto record = stored == nullptr ? std::nullopt : decodeOperation(stored->value);
    if (!record) {
        return damagedRecord(key);
    }
    return *record;
}

} // namespace agatedoor
