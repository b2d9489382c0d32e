#pragma once

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

/// @brief The platform's key-value service behind one narrow seam.
namespace agatedoor {

/// @brief Why a call to the store failed.
enum class StoreErrorKind {
    Unreachable, ///< No connection: nothing was applied.
    Rejected, ///< The store refused the call: nothing was applied.
    Busy, ///< The store refused the call for now: nothing was applied, and what the call named is as it was.
    OutcomeUnknown, ///< The call was sent and no answer came: a write may have been applied.
    Malformed, ///< The answer can't be read; a write may have been applied.
};

/// @brief A failed call.
struct StoreError
{
    StoreErrorKind kind = StoreErrorKind::Unreachable;
    int status = 0; ///< HTTP status, 0 when there was none.
};

template <typename T>
using StoreResult = Result<T, StoreError>;

/// @brief Revision of the store or of one key; 0 means absent.
using Revision = std::int64_t;
/// @brief Identifier of a lease at the store; 0 means none.
using LeaseId = std::int64_t;

/// @brief One stored value.
struct StoreValue
{
    std::string key;
    std::string value;
    Revision modRevision = 0;
};

/// @brief Answer to a read.
struct RangeReply
{
    std::vector<StoreValue> values;
    Revision revision = 0; ///< Of the store.
};

/// @brief One write of a transaction.
struct StorePut
{
    std::string key;
    std::string value;
    LeaseId lease = 0;
};

/// @brief Condition of a transaction: the key was last changed at this revision; 0 means it is absent.
struct StoreCondition
{
    std::string key;
    Revision modRevision = 0;
};

/// @brief Writes that happen together, only when all conditions hold.
struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StorePut> puts;
    std::vector<std::string> removes = {}; ///< Keys removed together with the writes.
    std::vector<std::string> readsOtherwise = {}; ///< Keys read, at one revision, when a condition doesn't hold.
};

/// @brief Whether the conditions held and the writes were applied.
struct TransactionReply
{
    bool applied = false;
    Revision revision = 0;
    std::vector<StoreValue> found = {}; ///< Values of the keys read because a condition didn't hold.
};

/// @brief One change seen by a watch.
struct StoreEvent
{
    bool removed = false;
    StoreValue value;
};

/// @brief Changes since a revision; empty when the deadline passed without one.
struct WatchReply
{
    std::vector<StoreEvent> events;
    Revision revision = 0;
};

/// @brief Calls to the store. Each blocks until its deadline at most, a watch until it is told to stop.
struct Store
{
    std::function<StoreResult<RangeReply>(const std::string &prefix, Deadline)> range;
    /// Like range, at less cost to the store: what it returns may be some seconds old.
    std::function<StoreResult<RangeReply>(const std::string &prefix, Deadline)> rangeRecent;
    std::function<StoreResult<TransactionReply>(const StoreTransaction &, Deadline)> transact;
    std::function<StoreResult<Done>(const std::string &key, Deadline)> remove;
    std::function<StoreResult<LeaseId>(std::chrono::seconds timeToLive, Deadline)> grantLease;
    std::function<StoreResult<Done>(LeaseId, Deadline)> keepLease;
    std::function<StoreResult<Done>(LeaseId, Deadline)> revokeLease;
    /// Waits for the first changes below a prefix at or after a revision.
    std::function<StoreResult<WatchReply>(const std::string &prefix, Revision from, Deadline, const std::stop_token &)> watch;
    /// Like range, without the values.
    std::function<StoreResult<RangeReply>(const std::string &prefix, Deadline)> listKeys;
};

/// @brief Word for @p kind in logs.
std::string_view wireName(StoreErrorKind kind);

/// @brief True when the failed call certainly changed nothing.
bool notApplied(const StoreError &error);

} // namespace agatedoor
