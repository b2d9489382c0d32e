#pragma once

#include "agatedoor/membership/bundle_exchange.hpp"
#include "agatedoor/membership/membership.hpp"
#include "node_state.hpp"

#include <optional>
#include <vector>

/// @brief Fetches newer bundles from peers, and sends them the one in force here.
namespace agatedoor {

/// @brief Counts for the dump and the metrics.
struct BundleSyncStats
{
    std::uint64_t fetched = 0; ///< Bundles from peers that were applied.
    std::uint64_t refused = 0; ///< Bundles from peers that could not be applied.
    std::uint64_t sentBytes = 0; ///< Bytes of the replies to peers.
};

/// @brief Connects the exchange of bundles with what is in force on this node. To be used by one thread.
class BundleSync
{
public:
    explicit BundleSync(NodeState &node);

    /// @brief Handles what @p message says of bundles: a request, a reply, or the sender's generation.
    /// @param size of the encoded message
    /// @return messages to send
    std::vector<Outgoing> take(const PeerMessage &message, std::size_t size, const Membership &membership, TimePoint now);

    /// @brief Keeps @p inForce, so that later bundles can be exchanged as a difference from it.
    void noteInForce(const BundleInForce &inForce);

    const BundleSyncStats &stats() const { return m_stats; }

private:
    std::optional<Outgoing> answer(const PeerMessage &request, const Membership &membership, TimePoint now);
    void apply(const PeerMessage &reply, std::size_t size, TimePoint now);
    std::optional<Outgoing> requestNewer(const PeerMessage &message, const Membership &membership, TimePoint now);

    NodeState &m_node;
    BundleExchange m_exchange;
    BundleSyncStats m_stats;
};

} // namespace agatedoor
