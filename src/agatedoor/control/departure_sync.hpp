#pragma once

#include "agatedoor/base/random.hpp"
#include "store_calls.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>

/// @brief Keeps in the store which backend servers were acknowledged to be leaving, since all processes that know it may end at once.
namespace agatedoor {

/// @brief Writes the departures that this node acknowledges to the store before they are acknowledged, and reads at the start those of its earlier
/// processes. Works on a thread of its own, since store calls block. The record lapses by itself: announcements come late by seconds.
class DepartureSync
{
public:
    /// @brief Called with false when the time is over or the node ends; on any thread.
    using Listener = std::function<void(bool done)>;

    DepartureSync(NodeState &node, const Store &store, StoreCalls &calls);
    ~DepartureSync();
    DepartureSync(const DepartureSync &) = delete;
    DepartureSync &operator=(const DepartureSync &) = delete;

    /// @brief Calls @p listener once it is known what earlier processes of this node have acknowledged.
    void whenKnown(Listener listener);
    /// @brief Calls @p listener once the store holds what this node knows of the departure of @p backend.
    void whenRecorded(const BackendId &backend, Listener listener);
    /// @brief Ends the thread and drops all that waits, without a call; later listeners are called at once, with false.
    void close();

private:
    struct Waiter
    {
        BackendId backend;
        Deadline deadline;
        Listener listener;
    };

    void run();
    bool waitForWork(Duration time);
    Duration round();
    bool readEarlier();
    bool writeRecord();
    bool acquireLease();
    bool putRecord(const MemberRecord &record);
    void dropWhatIsOfOtherEra();
    bool isRecorded(const BackendId &backend) const;
    bool hasUnrecorded();
    void noteKnown();
    void callListeners();
    std::string recordKey() const;

    NodeState &m_node;
    const Store &m_store;
    StoreCalls &m_calls;
    Random m_random = entropyRandom();
    Lease m_lease;
    TimePoint m_leaseEnd; ///< At the earliest.
    StoreEra m_era; ///< Of the store that holds m_recorded.
    bool m_read = false; ///< The record of earlier processes has been read.
    Deadline m_acceptWithoutRead{TimePoint::max()};
    int m_failures = 0;
    mutable std::mutex m_mutex; ///< Guards what follows.
    std::condition_variable m_workAvailable;
    bool m_work = false;
    bool m_stop = false;
    bool m_known = false;
    std::set<BackendId> m_wanted; ///< Departures that were or are to be acknowledged.
    std::map<BackendId, Departure> m_recorded; ///< As the store holds them.
    std::vector<Waiter> m_waitForKnown;
    std::vector<Waiter> m_waitForRecord;
    std::thread m_thread;
};

} // namespace agatedoor
