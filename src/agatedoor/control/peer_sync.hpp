#pragma once

#include "agatedoor/membership/head_exchange.hpp"
#include "agatedoor/wire/peer_transport.hpp"
#include "bundle_sync.hpp"
#include "member_log.hpp"
#include "node_state.hpp"
#include "peer_inbox.hpp"
#include "quota_sync.hpp"

#include <functional>
#include <mutex>
#include <thread>

/// @brief Runs the membership protocol and distributes bundles between nodes.
namespace agatedoor {

/// @brief Members of the fleet as this node sees them.
struct FleetRoster
{
    std::vector<MemberRecord> present; ///< Present members, including this node.
    bool joined = false; ///< A member has answered a digest comparison.
};

/// @brief A node's place among those that ask the store for the head.
struct HeadPlace
{
    bool isolated = false; ///< The node knows no other node.
    std::size_t rank = 0; ///< See HeadPeers::ownRank.
    bool isFirst = false; ///< See HeadPeers::isFirst.
};

/// @brief Statistics for the dump and the metrics.
struct PeerSyncStats
{
    PeerTraffic traffic;
    std::size_t members = 0; ///< Present members, including this node.
    std::size_t suspects = 0;
    std::size_t lost = 0; ///< Dead members whose record is still kept.
    std::size_t held = 0; ///< Lost members that stay routable as a last resort, because too many were lost at once.
    bool joined = false;
    std::uint64_t malformed = 0; ///< Messages that could not be decoded.
    std::uint64_t overflowed = 0; ///< Messages dropped because the inbox was full.
    BundleSyncStats bundles;
};

/// @brief Controller that runs the protocol on its own thread. Request threads only read the fleet view that it publishes.
class PeerSync
{
public:
    /// @brief Listens on the node's gossip address and joins the fleet through the seeds in the settings.
    /// @return an error when the gossip address can't be listened on
    static Result<std::unique_ptr<PeerSync>, ListenError> start(NodeState &node);
    ~PeerSync();
    PeerSync(const PeerSync &) = delete;
    PeerSync &operator=(const PeerSync &) = delete;

    /// @brief Announces a change of this node's record to peers at once, without waiting for the next tick.
    void notifyRecordChanged();

    /// @brief Tells and asks peers at once what is due: another bundle in force, a newer era of the store, a new confirmation of the head, or
    /// tokens of quotas that requests wait for.
    void notifyNews();

    /// @brief Calls @p listener regularly, on the thread of the protocol; it must not block.
    void onTick(std::function<void()> listener);

    /// @brief Adds addresses of nodes through which to join the fleet.
    void addContacts(const std::vector<Endpoint> &contacts);

    /// @brief Announces that this node has left the fleet, and stops the thread. Afterwards only @ref roster and @ref stats may be called.
    void leave();

    FleetRoster roster() const;
    HeadPlace headPlace() const;
    PeerSyncStats stats() const;

private:
    explicit PeerSync(NodeState &node);

    void run();
    void doWork(const PeerWork &work, TimePoint now);
    void tickMembership(TimePoint now);
    void drainBackendsThatSaidTheyLeave();
    void handleMessage(const std::string &bytes, TimePoint now);
    void callTickListener();
    void announceNews(TimePoint now);
    void takeHeadMessage(const PeerMessage &message);
    void exchangeHeadConfirmations();
    void sendAll(std::vector<Outgoing> messages);
    void announceBackendEnds(TimePoint now, bool refresh);
    void applyOutput(MembershipOutput output);
    void publishView(TimePoint now);
    MemberRecord currentRecord() const;

    NodeState &m_node;
    PeerInbox m_inbox; ///< Before the transport, whose threads add to it.
    std::unique_ptr<PeerTransport> m_transport;
    Random m_random = entropyRandom();
    mutable std::mutex m_stateMutex; ///< Guards the membership, the exchanges and the statistics, which other threads read.
    Membership m_membership;
    BundleSync m_bundles;
    HeadExchange m_headExchange;
    HeadPeers m_headPeers;
    QuotaSync m_quota;
    MemberLog m_memberLog;
    std::uint64_t m_malformed = 0;
    bool m_viewChanged = true;
    std::mutex m_listenerMutex;
    std::function<void()> m_tickListener;
    std::thread m_thread;
};

} // namespace agatedoor
