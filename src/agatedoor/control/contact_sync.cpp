#include "contact_sync.hpp"

#include "agatedoor/wire/log.hpp"
#include "chosen.hpp"

namespace agatedoor {

namespace {

constexpr std::string_view nodePrefix = "/agatedoor/nodes/";
constexpr ContactOptions contactOptions{};
constexpr std::chrono::seconds leaseTtl{15};
constexpr std::chrono::seconds leaseRenewalInterval{4};
constexpr Duration roundInterval = std::chrono::milliseconds(500);
constexpr Duration isolatedRoundInterval = std::chrono::milliseconds(50); ///< While this node knows no other member.
constexpr std::chrono::seconds callTimeout{2};
constexpr std::chrono::milliseconds stopCallTimeout{200}; ///< For the call that removes the contact key at a stop.

Deadline callDeadline()
{
    return deadlineAfter(Clock::now(), callTimeout);
}

ContactRole roleStartedNow()
{
    ContactRole role;
    role.startedAt = Clock::now();
    return role;
}

} // namespace

ContactSync::ContactSync(NodeState &node, PeerSync &peers, const Store &store, StoreCalls &calls, std::atomic<bool> &contact)
    : m_node(node)
    , m_peers(peers)
    , m_store(store)
    , m_calls(calls)
    , m_contact(contact)
    , m_role(roleStartedNow())
    , m_pause(node.storeEra)
    , m_thread([this] { run(); })
{
}

ContactSync::~ContactSync()
{
    beginStop();
    m_thread.join();
}

void ContactSync::beginStop()
{
    m_pause.stop();
}

void ContactSync::run()
{
    Duration pause = startDelay(m_random);
    while (m_pause.pauseUnlessRestored(pause)) {
        dropLeaseOfOtherEra();
        pause = round();
    }
    removeContactAtStop();
}

Duration ContactSync::round()
{
    const FleetRoster roster = m_peers.roster();
    ContactView view;
    view.isolated = roster.present.size() == 1;
    view.chosen = isChosen(m_node.settings, roster, "contact", contactOptions.perRegion);
    view.registered = m_registered;
    const ContactRead read = dueContactRead(m_role, view, contactOptions, m_random, Clock::now());
    if (read != ContactRead::None && !readContacts(read)) {
        return nextBackOff(m_failures, m_random);
    }
    if (!shouldRegister(m_role, view, contactOptions, Clock::now())) {
        abandonLease();
    } else if (!maintainContactKey()) {
        return nextBackOff(m_failures, m_random);
    }
    m_failures = 0;
    return view.isolated ? isolatedRoundInterval : roundInterval;
}

bool ContactSync::readContacts(ContactRead read)
{
    const auto &range = read == ContactRead::Latest ? m_store.range : m_store.rangeStale;
    const auto reply = range(std::string(nodePrefix), callDeadline());
    if (!m_calls.record(StoreCall::ReadContacts, reply)) {
        return false;
    }
    std::size_t regionContacts = 0;
    std::vector<Endpoint> contacts;
    for (const auto &value : reply.value().values) {
        const auto record = decodeMember(value.value);
        if (!record) {
            logLine(LogLevel::Error, "damaged-record", {{"key", value.key}});
            continue;
        }
        if (record->node == m_node.settings.node) {
            continue;
        }
        regionContacts += record->region == m_node.settings.region ? 1 : 0;
        contacts.push_back(record->gossip);
    }
    setRegionContacts(m_role, regionContacts);
    m_peers.addContacts(contacts);
    return true;
}

bool ContactSync::renewLeaseIfDue()
{
    if (Clock::now() < m_nextLeaseRenewal) {
        return true;
    }
    const auto renewed = m_store.keepLease(m_lease, callDeadline());
    if (!m_calls.record(StoreCall::KeepLease, renewed)) {
        if (renewed.error().kind == StoreErrorKind::Rejected) { // After Busy the lease may still exist.
            abandonLease();
        }
        return false;
    }
    m_nextLeaseRenewal = Clock::now() + leaseRenewalInterval;
    return true;
}

bool ContactSync::acquireLease()
{
    const auto granted = m_store.grantLease(leaseTtl, callDeadline());
    if (!m_calls.record(StoreCall::GrantLease, granted)) {
        return false;
    }
    m_lease = granted.value();
    m_registered = true;
    m_publishedIncarnation = {};
    m_nextLeaseRenewal = Clock::now() + leaseRenewalInterval;
    return true;
}

/// Keeps this node's contact key in the store under a lease. The key is rewritten when the node's incarnation changed.
bool ContactSync::maintainContactKey()
{
    if (!(m_lease.id == 0 ? acquireLease() : renewLeaseIfDue())) {
        return false;
    }
    const Incarnation incarnation{m_node.incarnation.value.load()};
    if (m_publishedIncarnation == incarnation) {
        return true;
    }
    MemberRecord record;
    record.node = m_node.settings.node;
    record.incarnation = incarnation;
    record.zone = m_node.settings.zone;
    record.region = m_node.settings.region;
    record.gossip = m_node.settings.gossip;
    const StoreTransaction write{.conditions = {}, .puts = {{contactKey(), encodeMember(record), m_lease.id}}, .era = m_lease.era};
    const auto written = m_store.transact(write, callDeadline());
    if (!m_calls.record(StoreCall::PutContact, written)) {
        return false;
    }
    m_publishedIncarnation = record.incarnation;
    m_contactRevision = written.value().revision;
    m_contact = true;
    return true;
}

/// Gives up a lease of before a restore, which may be another node's by now, and the contact key with it, which may be gone. The next round
/// registers this node anew.
void ContactSync::dropLeaseOfOtherEra()
{
    if (m_lease.id != 0 && m_lease.era != m_node.storeEra.value()) {
        m_lease = {};
        m_contact = false;
    }
}

/// Stops renewing the lease. The contact key remains until the lease expires; since it names a running node, it does no harm and removing it
/// isn't worth a call.
void ContactSync::abandonLease()
{
    m_lease = {};
    m_registered = false;
    m_contact = false;
}

std::string ContactSync::contactKey() const
{
    return std::string(nodePrefix) + m_node.settings.node.value;
}

/// Removes the contact key, with a short timeout so as not to delay the stop. If the call fails, the key goes with its lease, which expires by
/// itself. The lease isn't revoked: after a restore its id may be another node's.
void ContactSync::removeContactAtStop()
{
    if (m_contact) {
        const StoreTransaction removal{.conditions = {{contactKey(), m_contactRevision}}, .puts = {}, .removes = {contactKey()}, .era = m_lease.era};
        m_calls.record(StoreCall::RemoveContact, m_store.transact(removal, deadlineAfter(Clock::now(), stopCallTimeout)));
        abandonLease();
    }
}

} // namespace agatedoor
