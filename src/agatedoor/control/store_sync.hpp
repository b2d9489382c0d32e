#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/membership/contact_role.hpp"
#include "agatedoor/membership/head_watch.hpp"
#include "agatedoor/release/release_source.hpp"
#include "agatedoor/state/store.hpp"
#include "node_state.hpp"
#include "peer_sync.hpp"

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <stop_token>
#include <thread>

/// @brief Access of a node to the store: contact addresses through which nodes join the fleet, and the head record of the bundle in force.
namespace agatedoor {

/// @brief Kinds of store calls, distinguished in logs and metrics.
enum class StoreCall {
    ReadContacts,
    GrantLease,
    PutContact,
    KeepLease,
    RemoveContact,
    ReadHead,
    WatchHead,
    ReadBundle,
};

/// @brief Number of StoreCall values.
inline constexpr std::size_t storeCallCount = 8;

/// @brief Name of @p call in logs and metrics.
std::string_view wireName(StoreCall call);

/// @brief Statistics for the dump and the metrics.
struct StoreSyncStats
{
    std::array<std::uint64_t, storeCallCount> calls{}; ///< Number of calls, indexed by StoreCall.
    std::uint64_t failures = 0; ///< Calls of any kind that failed.
    bool contact = false; ///< This node keeps its contact key in the store, which other nodes join through.
    bool watcher = false; ///< This node watches the head record for its region.
    bool reachable = false; ///< The last call succeeded or was rejected by the store.
};

/// @brief Maintains the contact key and watches the head record, each on its own thread since store calls block.
/// To bound the load on the store, only a few nodes of a region keep a contact key and only a few watch the head. More nodes than
/// intended may consider themselves chosen without harm: each writes only its own key, and a bundle is applied only if its generation is newer.
class StoreSync
{
public:
    StoreSync(NodeState &node, PeerSync &peers, Store store, ReleaseSource releases);
    ~StoreSync();
    StoreSync(const StoreSync &) = delete;
    StoreSync &operator=(const StoreSync &) = delete;

    /// @brief Starts the stop without waiting for it: a watch in progress is cancelled, another call runs to its end.
    /// The contact thread still removes its contact key.
    void beginStop();

    StoreSyncStats stats() const;

private:
    void runContactThread();
    Duration contactRound();
    bool readContacts(ContactRead read);
    bool maintainContactKey();
    bool acquireLease();
    bool renewLeaseIfDue();
    void dropLeaseOfOtherEra();
    void abandonLease();
    std::string contactKey() const;
    void removeContactAtStop();
    void runHeadThread();
    Duration headRound();
    bool hasBundle() const;
    HeadAction dueHeadAction();
    bool readAndApplyHead();
    bool watchHead();
    StoreResult<WatchReply> askForHeadChanges();
    bool recordFailedWatch(StoreErrorKind error);
    std::stop_token beginWatch();
    void endWatchOfOtherEra();
    void countCall(StoreCall call);
    void noteEra(StoreCall call);
    Duration headPause();
    bool applyNewestHead(const std::vector<StoreEvent> &events);
    bool applyHead(const std::string &bytes);
    bool isChosen(const FleetRoster &roster, std::string_view purpose, std::size_t count) const;
    bool sleepFor(Duration time);
    bool sleepUnlessRestored(Duration time);
    Duration nextBackOff(int &failed, Random &random) const;
    template <typename T>
    bool recordResult(StoreCall call, const StoreResult<T> &result);

    NodeState &m_node;
    PeerSync &m_peers;
    Store m_store;
    ReleaseSource m_releases;
    Lease m_lease;
    bool m_registered = false; ///< This node is to keep a contact key, also while a lease for it has to be granted anew.
    Revision m_contactRevision = 0; ///< Revision at which the contact key was written.
    Incarnation m_publishedIncarnation;
    ContactRole m_contactRole;
    HeadWatchState m_headWatch;
    TimePoint m_nextLeaseRenewal; ///< When the lease is to be renewed.
    TimePoint m_nextFullRead;
    StorePosition m_headPosition; ///< Up to which changes of the head are known; revision 0 when the head has to be read in full.
    bool m_headPositionUnconfirmed = false; ///< The last watch failed, so the store may have been restored since.
    Generation m_headGeneration; ///< Newest generation read from the store, or in force before the last full read.
    bool m_headChanged = false; ///< The last watch returned a change.
    int m_contactFailures = 0;
    int m_headFailures = 0;
    Random m_contactRandom = entropyRandom();
    Random m_headRandom = entropyRandom();
    std::array<std::atomic<std::uint64_t>, storeCallCount> m_calls{};
    std::atomic<std::uint64_t> m_failures{0};
    std::atomic<bool> m_watcher{false};
    std::atomic<bool> m_contact{false};
    std::atomic<bool> m_reachable{false};
    std::atomic<bool> m_storeLost{false}; ///< Whether the store was last logged as lost.
    std::mutex m_mutex;
    std::condition_variable m_stopSignal;
    std::stop_source m_watchStop; ///< Ends the watch in progress; guarded by m_mutex.
    StoreEra m_watchedEra; ///< Era that the watch in progress is of; guarded by m_mutex.
    bool m_stop = false;
    std::thread m_contactThread;
    std::thread m_headThread;
};

} // namespace agatedoor
