#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/result.hpp"
#include "agatedoor/base/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// @brief Interface to the platform's key-value store.
namespace agatedoor {

/// @brief Reasons for a failed call to the store.
enum class StoreErrorKind {
    Unreachable, ///< There was no connection; nothing was applied.
    Rejected, ///< The store refused the call; nothing was applied.
    Busy, ///< The store refused the call temporarily; nothing was applied, and keys and leases that the call names are unchanged.
    OutcomeUnknown, ///< The call was sent but no answer came; a write may have been applied.
    Malformed, ///< The answer can't be parsed; a write may have been applied.
    Restored, ///< The store was restored from a copy since the era that the call names; a write may have been applied.
};

/// @brief Error of a call to the store.
struct StoreError
{
    StoreErrorKind kind = StoreErrorKind::Unreachable;
    int status = 0; ///< HTTP status, 0 when there was none.
};

template <typename T>
using StoreResult = Result<T, StoreError>;

/// @brief Revision of the store, or of the last change of a key; 0 means that the key is absent.
using Revision = std::int64_t;
/// @brief Identifier of a lease at the store; 0 means none.
using LeaseId = std::int64_t;

/// @brief A lease, with the era in which it was granted.
struct Lease
{
    LeaseId id = 0;
    StoreEra era;
};

/// @brief A revision of the store, with the era in which it was read.
struct StorePosition
{
    Revision revision = 0;
    StoreEra era;

    friend bool operator==(const StorePosition &, const StorePosition &) = default;
};

/// @brief Key and value in the store.
struct StoreValue
{
    std::string key;
    std::string value;
    Revision modRevision = 0; ///< Revision of the last change of the key.
};

/// @brief Result of a read.
struct RangeReply
{
    std::vector<StoreValue> values;
    Revision revision = 0; ///< Revision of the store at the time of the read.
    StoreEra era; ///< Era of that revision.
};

/// @brief One write of a transaction.
struct StorePut
{
    std::string key;
    std::string value;
    LeaseId lease = 0; ///< The key is deleted when this lease ends.
};

/// @brief Condition of a transaction: the key was last changed at this revision, or is absent if the revision is 0.
struct StoreCondition
{
    std::string key;
    Revision modRevision = 0;
    /// The key also has this value, since a store that was restored from a copy gives revisions out again. Not every store can check it.
    std::optional<std::string> value = {};
};

/// @brief Writes that are applied atomically if all conditions hold.
struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StorePut> puts;
    std::vector<std::string> removes = {}; ///< Keys that are deleted together with the writes.
    std::vector<std::string> readsOnConflict = {}; ///< Keys that are read, all at one revision, if a condition doesn't hold.
    StoreEra era = {}; ///< Era of the revisions and leases named above; a store in another era answers Restored.
};

/// @brief Result of a transaction.
struct TransactionReply
{
    bool applied = false; ///< The conditions held and the writes were applied.
    Revision revision = 0; ///< Of the writes, when they were applied.
    std::vector<StoreValue> found = {}; ///< Values of readsOnConflict if a condition didn't hold.
};

/// @brief One change that a watch reports.
struct StoreEvent
{
    bool removed = false;
    StoreValue value;
};

/// @brief Changes since a revision; empty if there was none for as long as the call waited.
struct WatchReply
{
    std::vector<StoreEvent> events;
    Revision revision = 0; ///< 0 if the store said nothing at all.
    StoreEra era; ///< Era of that revision.
    Duration unchangedFor{0}; ///< By the store's word there was no other change for at least this time from the call on.
};

/// @brief Part of a watch's time that is left for the store's reply when there is no change.
inline constexpr std::chrono::milliseconds watchReplyTime{500};

/// @brief Operations of the store. Each blocks at most until its deadline; a watch also ends on a stop request.
struct Store
{
    /// Reads all keys with a prefix.
    std::function<StoreResult<RangeReply>(const std::string &prefix, Deadline)> range;
    /// Like range, but a stale read: cheaper for the store, and the result may be some seconds old.
    std::function<StoreResult<RangeReply>(const std::string &prefix, Deadline)> rangeStale;
    std::function<StoreResult<TransactionReply>(const StoreTransaction &, Deadline)> transact;
    std::function<StoreResult<Done>(const std::string &key, Deadline)> remove;
    std::function<StoreResult<Lease>(std::chrono::seconds timeToLive, Deadline)> grantLease;
    std::function<StoreResult<Done>(const Lease &, Deadline)> keepLease;
    /// Waits for the first changes of keys with a prefix at or after a position, until watchReplyTime before the deadline.
    std::function<StoreResult<WatchReply>(const std::string &prefix, const StorePosition &from, Deadline, const std::stop_token &)> watch;
    /// Like watch, but doesn't wait for a change, so that the reply soon tells whether the position still means the same.
    std::function<StoreResult<WatchReply>(const std::string &prefix, const StorePosition &from, Deadline)> poll;
    /// Newest era that a reply of the store has named; for any thread.
    std::function<StoreEra()> newestEra = [] { return StoreEra{}; };
    /// Like range, but without the values.
    std::function<StoreResult<RangeReply>(const std::string &prefix, Deadline)> listKeys;
};

/// @brief Name of @p kind in logs.
std::string_view wireName(StoreErrorKind kind);

/// @brief True when the failed call is known to have changed nothing.
bool notApplied(const StoreError &error);

} // namespace agatedoor
