#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/membership/head_watch.hpp"
#include "agatedoor/release/release_source.hpp"
#include "store_calls.hpp"
#include "store_pause.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <stop_token>
#include <thread>

/// @brief Follows the head record of the bundle in force in the store.
namespace agatedoor {

/// @brief Watches the head on a thread of its own, since store calls block. Only a few nodes of a region watch, and another one asks when no peer
/// has passed on the store's confirmation for too long; a bundle is applied only if its generation is newer, so more of them do no harm.
/// A watch ends when that confirmation is too old, or after a restore: the store may never answer it.
class HeadSync
{
public:
    /// @param isContact whether this node keeps a contact key; called on this thread
    HeadSync(NodeState &node, PeerSync &peers, const Store &store, StoreCalls &calls, ReleaseSource releases, std::function<bool()> isContact);
    ~HeadSync();
    HeadSync(const HeadSync &) = delete;
    HeadSync &operator=(const HeadSync &) = delete;

    /// @brief Starts the stop without waiting for it: a watch in progress is cancelled, another call runs to its end.
    void beginStop();

    /// @brief This node watches the head for its region.
    bool isWatcher() const { return m_watcher.load(); }

private:
    void run();
    Duration round();
    bool hasBundle() const;
    HeadWatchView view();
    Duration confirmationAge();
    Duration pauseWithoutCall(const HeadWatchView &view) const;
    Duration pauseAfterFailure(const HeadWatchView &view);
    void takeKnownPosition();
    void logLate(const HeadWatchView &view) const;
    bool readAndApply();
    void noteEra();
    void takeEvacuations(const RangeReply &reply);
    Duration waitTime(const HeadWatchView &view, HeadAction action);
    bool watch(Duration wait);
    StoreResult<WatchReply> askForChanges(Duration wait, const std::stop_token &stop);
    void endOutdatedWatch();
    void confirmHead(BootTime at);
    bool recordFailedWatch(StoreErrorKind error);
    std::stop_token beginWatch();
    Duration pauseAfterRound();
    bool applyNewest(const std::vector<StoreEvent> &events);
    bool apply(const std::string &bytes);

    NodeState &m_node;
    PeerSync &m_peers;
    const Store &m_store;
    StoreCalls &m_calls;
    ReleaseSource m_releases;
    std::function<bool()> m_isContact;
    HeadWatchState m_state;
    TimePoint m_nextFullRead;
    StorePosition m_position; ///< Up to which changes of the head are known; revision 0 when the head has to be read in full.
    EvacuatedZones m_evacuated; ///< At m_position.
    StoreEra m_seenEra; ///< Newest one that this thread has noticed; 0 before the first.
    Deadline m_keepEvacuatedUntil; ///< After a restore, zones that were evacuated before stay so until then.
    StorePosition m_droppedBefore; ///< The store has refused to go on from here, so neither does it from an earlier position.
    bool m_positionUnconfirmed = false; ///< The last watch failed, so the store may have been restored since.
    Generation m_readGeneration; ///< Newest generation read from the store, or in force before the last full read.
    bool m_changed = false; ///< The last watch returned a change.
    int m_failures = 0; ///< Rounds that failed in a row.
    std::optional<BootTime> m_hasBundleSince;
    Duration m_limit = Duration::max(); ///< Age of the confirmation at which a watch that begins now ends.
    Random m_random = entropyRandom();
    std::atomic<bool> m_watcher{false};
    std::mutex m_watchMutex; ///< Guards the four below.
    std::stop_source m_watchStop; ///< Ends the watch in progress.
    StoreEra m_watchedEra; ///< Era that the watch in progress is of.
    Duration m_watchLimit = Duration::max(); ///< Age of the confirmation at which it ends.
    bool m_stopping = false;
    StorePause m_pause;
    std::thread m_thread;
};

} // namespace agatedoor
