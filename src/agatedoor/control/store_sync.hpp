#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/membership/contact_role.hpp"
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

/// @brief The node's bounded use of the store: addresses to join by, and the head record.
namespace agatedoor {

/// @brief Calls to the store, told apart in logs and metrics.
enum class StoreCall {
    ReadContacts,
    GrantLease,
    PutContact,
    KeepLease,
    RevokeLease,
    ReadHead,
    WatchHead,
    ReadBundle,
};

/// @brief Number of kinds of calls.
inline constexpr std::size_t storeCallCount = 8;

/// @brief Word for @p call in logs and metrics.
std::string_view wireName(StoreCall call);

/// @brief Figures for the dump and the metrics.
struct StoreSyncFigures
{
    std::array<std::uint64_t, storeCallCount> calls{}; ///< By kind.
    std::uint64_t failures = 0;
    bool contact = false; ///< This node keeps an address to join by in the store.
    bool watcher = false; ///< This node watches the head record for its region.
    bool reachable = false; ///< The last call was answered.
};

/// @brief Controllers with threads of their own, since store calls block. Only a few nodes of a zone or region use the store at a time;
/// two nodes that both believe they are chosen do no harm, as each writes its own key and a bundle is applied by its generation.
class StoreSync
{
public:
    StoreSync(NodeState &node, PeerSync &peers, Store store, ReleaseSource releases);
    ~StoreSync();
    StoreSync(const StoreSync &) = delete;
    StoreSync &operator=(const StoreSync &) = delete;

    /// @brief Makes no further call; one in progress ends by itself.
    void beginStop();

    StoreSyncFigures figures() const;

private:
    void keepContact();
    Duration contactRound();
    bool readContacts(ContactRead read);
    bool holdLease();
    bool takeLease();
    bool keepLease();
    void letLeaseLapse();
    void endLease();
    void followHead();
    Duration headRound();
    bool readAndApplyHead();
    bool watchHead();
    void noteCall(StoreCall call);
    Duration headPause();
    bool applyNewest(const std::vector<StoreEvent> &events);
    bool applyHead(const std::string &bytes);
    bool chosen(const FleetRoster &roster, std::string_view purpose, bool zoneOnly, std::size_t count) const;
    bool sleepFor(Duration time);
    Duration backOff(int &failed, Random &random) const;
    template <typename T>
    bool answered(StoreCall call, const StoreResult<T> &result);

    NodeState &m_node;
    PeerSync &m_peers;
    Store m_store;
    ReleaseSource m_releases;
    LeaseId m_lease = 0;
    Incarnation m_published;
    ContactRole m_contactRole;
    TimePoint m_nextKeep; ///< Of the lease.
    TimePoint m_nextFullRead;
    Revision m_headRevision = 0; ///< Up to which changes are known; 0 when the head is to be read anew.
    bool m_headChanged = false; ///< The last watch brought a change.
    int m_contactFailures = 0;
    int m_headFailures = 0;
    Random m_contactRandom = entropyRandom();
    Random m_headRandom = entropyRandom();
    std::array<std::atomic<std::uint64_t>, storeCallCount> m_calls{};
    std::atomic<std::uint64_t> m_failures{0};
    std::atomic<bool> m_watcher{false};
    std::atomic<bool> m_contact{false};
    std::atomic<bool> m_reachable{false};
    std::atomic<bool> m_lost{false}; ///< As last logged.
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::stop_source m_stopWatch;
    bool m_stop = false;
    std::thread m_contactThread;
    std::thread m_headThread;
};

} // namespace agatedoor
