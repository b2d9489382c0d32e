#pragma once

#include "agatedoor/release/release.hpp"
#include "agatedoor/state/store.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// @brief In-memory store whose every call can be made to fail in a chosen way.
namespace agatedoor::test {

/// @brief What happens to one call.
enum class Fault {
    None,
    Unreachable, ///< Nothing arrives.
    Rejected, ///< The store refuses.
    AnswerLost, ///< A write takes effect and its answer is lost.
    Dropped, ///< No answer comes and nothing is ever written.
    Late, ///< No answer comes in time; a write arrives later.
    StaleRead, ///< A read shows the store as it was some writes ago.
};

/// @brief Keys, values and everything that was ever written.
class FakeStore
{
public:
    /// Called before each call; decides its fault.
    using Injector = std::function<Fault(bool write)>;

    /// @brief Store seam whose calls @p injector may fail.
    Store seam(const Injector &injector);
    /// @brief Lets the oldest late write arrive; false when there is none.
    bool deliverLate();
    /// @brief Sets a key as if by hand, for instance to damage it.
    void overwrite(const std::string &key, const std::string &value);
    /// @brief Removes a key as if by hand.
    void erase(const std::string &key);
    /// @brief Returns to the state of before the last @p writes transactions, whose revisions are given out again.
    void restore(std::size_t writes);
    bool holds(const std::string &key) const { return m_values.contains(key); }
    const StoreValue &at(const std::string &key) const { return m_values.at(key); }
    /// @brief Every head that was ever stored, in order.
    const std::vector<HeadRecord> &heads() const { return m_heads; }
    /// @brief How far back stale reads look.
    void setStaleness(std::size_t writes) { m_staleness = writes; }

private:
    using Values = std::map<std::string, StoreValue>;

    StoreResult<RangeReply> range(const std::string &prefix, Fault fault, bool keysOnly) const;
    StoreResult<TransactionReply> transact(const StoreTransaction &transaction, Fault fault);
    TransactionReply apply(const StoreTransaction &transaction);
    bool conditionsHold(const StoreTransaction &transaction) const;
    const Values &past() const;

    Values m_values;
    std::vector<Values> m_history;
    std::vector<StoreTransaction> m_late;
    std::vector<HeadRecord> m_heads;
    Revision m_revision = 1;
    std::size_t m_staleness = 2;
};

} // namespace agatedoor::test
