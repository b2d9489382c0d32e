#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/membership/contact_role.hpp"
#include "store_calls.hpp"
#include "store_pause.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

/// @brief Keeps a node's contact key in the store, through which other nodes join the fleet, and reads those of others.
namespace agatedoor {

/// @brief Maintains the contact key on a thread of its own, since store calls block. Only a few nodes of a region keep one.
class ContactSync
{
public:
    /// @param contact set while this node keeps its contact key in the store
    ContactSync(NodeState &node, PeerSync &peers, const Store &store, StoreCalls &calls, std::atomic<bool> &contact);
    ~ContactSync();
    ContactSync(const ContactSync &) = delete;
    ContactSync &operator=(const ContactSync &) = delete;

    /// @brief Starts the stop without waiting for it; the thread still removes the contact key.
    void beginStop();

private:
    void run();
    Duration round();
    bool readContacts(ContactRead read);
    bool maintainContactKey();
    bool acquireLease();
    bool renewLeaseIfDue();
    void dropLeaseOfOtherEra();
    void abandonLease();
    std::string contactKey() const;
    void removeContactAtStop();

    NodeState &m_node;
    PeerSync &m_peers;
    const Store &m_store;
    StoreCalls &m_calls;
    std::atomic<bool> &m_contact;
    Lease m_lease;
    bool m_registered = false; ///< This node is to keep a contact key, also while a lease for it has to be granted anew.
    Revision m_contactRevision = 0; ///< Revision at which the contact key was written.
    Incarnation m_publishedIncarnation;
    ContactRole m_role;
    TimePoint m_nextLeaseRenewal;
    int m_failures = 0; ///< Rounds that failed in a row.
    Random m_random = entropyRandom();
    StorePause m_pause;
    std::thread m_thread;
};

} // namespace agatedoor
