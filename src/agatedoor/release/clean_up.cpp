#include "agatedoor/release/clean_up.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace agatedoor {

namespace {

/// Stores limit the operations per transaction; each generation takes up to four.
constexpr std::size_t maxGenerationsPerCall = 20;

/// The record of a generation with its revision in the store.
struct StoredGeneration
{
    HeadRecord head;
    Revision modRevision = 0;
};

/// Modification revisions of the keys under a prefix.
using KeyRevisions = std::map<std::string, Revision>;

/// The store contents that a clean-up decides by.
struct Inventory
{
    StoreValue head;
    std::vector<StoredGeneration> superseded;
    std::vector<StoredGeneration> kept;
    KeyRevisions bundles;
    KeyRevisions renewals;
};

Result<KeyRevisions, ReleaseError> keyRevisions(const Store &store, std::string_view prefix, Deadline deadline)
{
    const auto reply = store.listKeys(std::string(prefix), deadline);
    if (!reply) {
        return ReleaseError{reply.error()};
    }
    KeyRevisions revisions;
    for (const auto &value : reply.value().values) {
        revisions[value.key] = value.modRevision;
    }
    return revisions;
}

Revision revisionOf(const KeyRevisions &revisions, const std::string &key)
{
    const auto found = revisions.find(key);
    return found == revisions.end() ? 0 : found->second;
}

Result<std::vector<StoredGeneration>, ReleaseError> readGenerations(const Store &store, Deadline deadline)
{
    const auto reply = store.range(std::string(generationPrefix), deadline);
    if (!reply) {
        return ReleaseError{reply.error()};
    }
    std::vector<StoredGeneration> generations;
    for (const auto &value : reply.value().values) {
        auto head = decodeHead(value.value);
        if (!head || generationKey(head->generation) != value.key) {
            return ReleaseError{DamagedRecord{value.key}};
        }
        generations.push_back({std::move(*head), value.modRevision});
    }
    return generations;
}

/// Splits the generations into superseded and kept ones. The head's own generation must be the last of them;
/// otherwise its record is damaged or the list is outdated.
Result<Inventory, ReleaseError> readInventory(const Store &store, const StoreValue &stored, const HeadRecord &head, std::uint64_t kept, Deadline deadline)
{
    Inventory inventory;
    inventory.head = stored;
    BOOST_OUTCOME_TRY(const auto generations, readGenerations(store, deadline));
    for (const auto &generation : generations) {
        const bool superseded = generation.head.generation.value + std::max(kept, minKeptGenerations) <= head.generation.value;
        (superseded ? inventory.superseded : inventory.kept).push_back(generation);
    }
    if (inventory.kept.empty() || inventory.kept.back().head != head) {
        return ReleaseError{DamagedRecord{generationKey(head.generation)}};
    }
    BOOST_OUTCOME_TRY(inventory.bundles, keyRevisions(store, bundlePrefix, deadline));
    BOOST_OUTCOME_TRY(inventory.renewals, keyRevisions(store, renewalPrefix, deadline));
    if (inventory.superseded.size() > maxGenerationsPerCall) {
        inventory.superseded.resize(maxGenerationsPerCall);
    }
    return inventory;
}

/// Digests of the bundles that only superseded generations use and that weren't signed off since the oldest kept one.
std::set<BundleDigest> removableBundles(const Inventory &inventory)
{
    const Revision oldestKept = inventory.kept.front().modRevision;
    std::set<BundleDigest> removable;
    for (const auto &generation : inventory.superseded) {
        const BundleDigest &digest = generation.head.digest;
        const Revision signedOff = std::max(revisionOf(inventory.bundles, bundleKey(digest)), revisionOf(inventory.renewals, renewalKey(digest)));
        if (signedOff != 0 && signedOff < oldestKept) {
            removable.insert(digest);
        }
    }
    for (const auto &generation : inventory.kept) {
        removable.erase(generation.head.digest);
    }
    return removable;
}

StoreTransaction removalOf(const Inventory &inventory, const std::set<BundleDigest> &bundles)
{
    StoreTransaction removal;
    removal.conditions = {{inventory.head.key, inventory.head.modRevision, inventory.head.value}};
    for (const auto &generation : inventory.superseded) {
        removal.removes.push_back(generationKey(generation.head.generation));
    }
    for (const auto &digest : bundles) {
        removal.conditions.push_back({renewalKey(digest), revisionOf(inventory.renewals, renewalKey(digest))});
        removal.removes.push_back(bundleKey(digest));
        removal.removes.push_back(renewalKey(digest));
    }
    removal.readsOnConflict = {std::string(headKey)};
    return removal;
}

/// Error for a rejected removal: the head changed, or a bundle was signed off again, since the inventory was read.
ReleaseError rejectionError(const std::vector<StoreValue> &found, const StoreValue &readHead)
{
    const auto head = found.empty() ? std::nullopt : decodeHead(found.front().value);
    if (!head) {
        return DamagedRecord{std::string(headKey)};
    }
    if (found.front().modRevision == readHead.modRevision && found.front().value == readHead.value) {
        return StoreError{StoreErrorKind::Rejected, 0};
    }
    return RollOutConflict{*head};
}

CleanUpReply replyOf(const Inventory &inventory, const std::set<BundleDigest> &bundles)
{
    CleanUpReply reply;
    for (const auto &generation : inventory.superseded) {
        reply.generations.push_back(generation.head.generation);
    }
    reply.bundles.assign(bundles.begin(), bundles.end());
    return reply;
}

} // namespace

Result<CleanUpReply, ReleaseError> cleanUp(const Store &store, std::uint64_t kept, Deadline deadline)
{
    const auto stored = store.range(std::string(headKey), deadline);
    if (!stored) {
        return ReleaseError{stored.error()};
    }
    if (stored.value().values.empty()) {
        return CleanUpReply{};
    }
    const StoreValue &value = stored.value().values.front();
    const auto head = decodeHead(value.value);
    if (value.key != headKey || !head) {
        return ReleaseError{DamagedRecord{std::string(headKey)}};
    }
    BOOST_OUTCOME_TRY(const Inventory inventory, readInventory(store, value, *head, kept, deadline));
    if (inventory.superseded.empty()) {
        return CleanUpReply{};
    }
    const auto bundles = removableBundles(inventory);
    const auto reply = store.transact(removalOf(inventory, bundles), deadline);
    if (!reply) {
        return ReleaseError{reply.error()};
    }
    if (!reply.value().applied) {
        return rejectionError(reply.value().found, inventory.head);
    }
    return replyOf(inventory, bundles);
}

} // namespace agatedoor
