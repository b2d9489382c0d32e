#pragma once

#include "agatedoor/state/store.hpp"
#include "node_state.hpp"
#include "peer_sync.hpp"

#include <array>
#include <atomic>
#include <optional>
#include <string_view>

/// @brief Counts and logs the calls of a node to the store, and takes over the era that the replies name.
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
    ReadDepartures,
    PutDepartures,
    ReadTrial,
    AskForTrial,
    GiveTrialBack,
};

/// @brief Number of StoreCall values.
inline constexpr std::size_t storeCallCount = 13;

/// @brief Name of @p call in logs and metrics.
std::string_view wireName(StoreCall call);

/// @brief Whether the store answered a call that failed with @p error, and will answer others.
bool isAnswered(StoreErrorKind error);

/// @brief Counts of calls, and whether the store was reached; for several threads.
class StoreCalls
{
public:
    StoreCalls(NodeState &node, PeerSync &peers, std::function<StoreEra()> newestEra);

    void count(StoreCall call);

    /// @brief Counts and logs @p result of a call. The store counts as lost unless it answered the call.
    /// @return whether the call succeeded
    template <typename T>
    bool record(StoreCall call, const StoreResult<T> &result)
    {
        return record(call, result ? std::nullopt : std::optional(result.error()));
    }

    /// @brief Number of calls, indexed by StoreCall.
    std::array<std::uint64_t, storeCallCount> counts() const;
    std::uint64_t failures() const { return m_failures.load(); }
    /// @brief The last call was answered.
    bool reachable() const { return m_reachable.load(); }

private:
    bool record(StoreCall call, const std::optional<StoreError> &error);
    void noteEra(StoreCall call);

    NodeState &m_node;
    PeerSync &m_peers;
    std::function<StoreEra()> m_newestEra;
    std::array<std::atomic<std::uint64_t>, storeCallCount> m_calls{};
    std::atomic<std::uint64_t> m_failures{0};
    std::atomic<bool> m_reachable{false};
    std::atomic<bool> m_storeLost{false}; ///< Whether the store was last logged as lost.
};

} // namespace agatedoor
