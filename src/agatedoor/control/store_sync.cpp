#include "store_sync.hpp"

namespace agatedoor {

StoreSync::StoreSync(NodeState &node, PeerSync &peers, Store store, ReleaseSource releases)
    : m_store(std::move(store))
    , m_calls(node, peers, m_store.newestEra)
    , m_head(node, peers, m_store, m_calls, std::move(releases), [this] { return m_contact.load(); })
    , m_contacts(node, peers, m_store, m_calls, m_contact)
    , m_departures(node, m_store, m_calls)
    , m_trials(node, m_store, m_calls)
{
}

void StoreSync::beginStop()
{
    m_head.beginStop();
    m_contacts.beginStop();
}

StoreSyncStats StoreSync::stats() const
{
    return {m_calls.counts(), m_calls.failures(), m_contact.load(), m_head.isWatcher(), m_calls.reachable()};
}

} // namespace agatedoor
