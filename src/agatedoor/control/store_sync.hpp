#pragma once

#include "contact_sync.hpp"
#include "departure_sync.hpp"
#include "head_sync.hpp"
#include "trial_sync.hpp"

/// @brief Access of a node to the store: contact addresses through which nodes join the fleet, the head record of the bundle in force, the
/// departures that were acknowledged, and trials of refused requests.
namespace agatedoor {

/// @brief Statistics for the dump and the metrics.
struct StoreSyncStats
{
    std::array<std::uint64_t, storeCallCount> calls{}; ///< Number of calls, indexed by StoreCall.
    std::uint64_t failures = 0; ///< Calls of any kind that failed.
    bool contact = false; ///< This node keeps its contact key in the store, which other nodes join through.
    bool watcher = false; ///< This node watches the head record for its region.
    bool reachable = false; ///< The last call succeeded or was rejected by the store.
};

/// @brief Runs the contact key, the head watch, the record of departures and the trials over one store.
class StoreSync
{
public:
    StoreSync(NodeState &node, PeerSync &peers, Store store, ReleaseSource releases);

    /// @brief Starts the stop without waiting for it: a watch in progress is cancelled, another call runs to its end.
    /// The contact key is still removed.
    void beginStop();

    StoreSyncStats stats() const;

    DepartureSync &departures() { return m_departures; }

private:
    Store m_store;
    StoreCalls m_calls;
    std::atomic<bool> m_contact{false}; ///< This node keeps its contact key in the store.
    HeadSync m_head;
    ContactSync m_contacts;
    DepartureSync m_departures;
    TrialSync m_trials;
};

} // namespace agatedoor
