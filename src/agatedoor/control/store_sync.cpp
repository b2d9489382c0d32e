#include "store_sync.hpp"

#include "agatedoor/base/random_time.hpp"
#include "agatedoor/base/word_table.hpp"
#include "agatedoor/wire/log.hpp"
#include "bundle_log.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::string_view nodePrefix = "/agatedoor/nodes/";
constexpr ContactOptions contactOptions{};
constexpr std::chrono::seconds leaseTime{15};
constexpr std::chrono::seconds leaseRound{4};
constexpr Duration roleRound = std::chrono::milliseconds(500);
constexpr Duration lonelyRound = std::chrono::milliseconds(50);
constexpr std::chrono::seconds callTimeout{2};
constexpr std::chrono::milliseconds stopCallTimeout{200};
constexpr std::chrono::seconds watchTime{25}; ///< Bounds a silent connection; peers tell of a new generation meanwhile.
constexpr std::chrono::seconds fullReadInterval{60};
constexpr Duration leastChangePause = std::chrono::milliseconds(200);
constexpr Duration changePauseSpread = std::chrono::milliseconds(400); ///< Peers whose pause ends sooner tell the others of the change.
constexpr std::chrono::milliseconds startJitter{50}; ///< Spreads the first calls of nodes that start together.
constexpr std::chrono::milliseconds leastBackOff{200};
constexpr int mostDoublings = 5;

Deadline callDeadline()
{
    return deadlineAfter(Clock::now(), callTimeout);
}

ContactRole startedNow()
{
    ContactRole role;
    role.startedAt = Clock::now();
    return role;
}

constexpr std::array callWords{
    std::pair{StoreCall::ReadContacts, std::string_view{"read-contacts"}}, std::pair{StoreCall::GrantLease, std::string_view{"grant-lease"}},
    std::pair{StoreCall::PutContact, std::string_view{"put-contact"}},     std::pair{StoreCall::KeepLease, std::string_view{"keep-lease"}},
    std::pair{StoreCall::RevokeLease, std::string_view{"revoke-lease"}},   std::pair{StoreCall::ReadHead, std::string_view{"read-head"}},
    std::pair{StoreCall::WatchHead, std::string_view{"watch-head"}},       std::pair{StoreCall::ReadBundle, std::string_view{"read-bundle"}},
};
static_assert(callWords.size() == storeCallCount);

} // namespace

std::string_view wireName(StoreCall call)
{
    return wordOf(callWords, call);
}

StoreSync::StoreSync(NodeState &node, PeerSync &peers, Store store, ReleaseSource releases)
    : m_node(node)
    , m_peers(peers)
    , m_store(std::move(store))
    , m_releases(std::move(releases))
    , m_contactRole(startedNow())
    , m_contactThread([this] { keepContact(); })
    , m_headThread([this] { followHead(); })
{
}

StoreSync::~StoreSync()
{
    beginStop();
    m_contactThread.join();
    m_headThread.join();
}

void StoreSync::beginStop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
    }
    m_stopWatch.request_stop();
    m_wake.notify_all();
}

StoreSyncFigures StoreSync::figures() const
{
    StoreSyncFigures figures{{}, m_failures.load(), m_contact.load(), m_watcher.load(), m_reachable.load()};
    std::copy(m_calls.begin(), m_calls.end(), figures.calls.begin());
    return figures;
}

void StoreSync::noteCall(StoreCall call)
{
    ++m_calls.at(static_cast<std::size_t>(call));
}

bool StoreSync::sleepFor(Duration time)
{
    std::unique_lock lock(m_mutex);
    return !m_wake.wait_for(lock, time, [this] { return m_stop; });
}

Duration StoreSync::backOff(int &failed, Random &random) const
{
    const Duration most = leastBackOff * (1 << std::min(failed++, mostDoublings));
    return leastBackOff / 2 + uniformTime(random, most);
}

template <typename T>
bool StoreSync::answered(StoreCall call, const StoreResult<T> &result)
{
    noteCall(call);
    const bool failed = !result && result.error().kind != StoreErrorKind::Rejected;
    m_reachable = !failed;
    if (m_lost.exchange(failed) != failed) {
        logLine(failed ? LogLevel::Warn : LogLevel::Info, failed ? "store-lost" : "store-regained", {{"call", std::string(wireName(call))}});
    }
    if (!result) {
        ++m_failures;
        logLine(LogLevel::Warn, "store-call-failed", {{"call", std::string(wireName(call))}, {"error", std::string(wireName(result.error().kind))}});
    }
    return result.has_value();
}

bool StoreSync::chosen(const FleetRoster &roster, std::string_view purpose, bool zoneOnly, std::size_t count) const
{
    const Settings &settings = m_node.settings;
    std::vector<NodeId> candidates;
    for (const auto &record : roster.present) {
        const bool near = record.region == settings.region && (!zoneOnly || record.zone == settings.zone);
        if (near && !record.stopping) {
            candidates.push_back(record.node);
        }
    }
    const auto nodes = rendezvous(candidates, purpose, count);
    return std::find(nodes.begin(), nodes.end(), settings.node) != nodes.end();
}

void StoreSync::keepContact()
{
    Duration pause = uniformTime(m_contactRandom, startJitter);
    while (sleepFor(pause)) {
        pause = contactRound();
    }
    endLease();
}

Duration StoreSync::contactRound()
{
    const FleetRoster roster = m_peers.roster();
    ContactView view;
    view.lonely = roster.present.size() == 1;
    view.chosen = chosen(roster, "contact", true, contactOptions.perZone);
    view.holding = m_lease != 0;
    const ContactRead read = dueRead(m_contactRole, view, contactOptions, m_contactRandom, Clock::now());
    if (read != ContactRead::None && !readContacts(read)) {
        return backOff(m_contactFailures, m_contactRandom);
    }
    if (!shouldHold(m_contactRole, view, contactOptions, Clock::now())) {
        letLeaseLapse();
    } else if (!holdLease()) {
        return backOff(m_contactFailures, m_contactRandom);
    }
    m_contactFailures = 0;
    return view.lonely ? lonelyRound : roleRound;
}

bool StoreSync::readContacts(ContactRead read)
{
    const auto &range = read == ContactRead::Latest ? m_store.range : m_store.rangeRecent;
    const auto reply = range(std::string(nodePrefix), callDeadline());
    if (!answered(StoreCall::ReadContacts, reply)) {
        return false;
    }
    std::size_t zoneContacts = 0;
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
        zoneContacts += record->zone == m_node.settings.zone ? 1 : 0;
        contacts.push_back(record->gossip);
    }
    noteContacts(m_contactRole, zoneContacts);
    m_peers.addContacts(contacts);
    return true;
}

bool StoreSync::keepLease()
{
    if (Clock::now() < m_nextKeep) {
        return true;
    }
    const auto kept = m_store.keepLease(m_lease, callDeadline());
    if (!answered(StoreCall::KeepLease, kept)) {
        m_lease = kept.error().kind == StoreErrorKind::Rejected ? 0 : m_lease; // Busy says nothing of the lease.
        m_contact = m_lease != 0;
        return false;
    }
    m_nextKeep = Clock::now() + leaseRound;
    return true;
}

bool StoreSync::takeLease()
{
    const auto granted = m_store.grantLease(leaseTime, callDeadline());
    if (!answered(StoreCall::GrantLease, granted)) {
        return false;
    }
    m_lease = granted.value();
    m_published = {};
    m_nextKeep = Clock::now() + leaseRound;
    return true;
}

/// Keeps the node's contact key under a lease; the key is written anew when the node's incarnation changed.
bool StoreSync::holdLease()
{
    if (!(m_lease == 0 ? takeLease() : keepLease())) {
        return false;
    }
    const Incarnation incarnation{m_node.incarnation.value.load()};
    if (m_published == incarnation) {
        return true;
    }
    MemberRecord record;
    record.node = m_node.settings.node;
    record.incarnation = incarnation;
    record.zone = m_node.settings.zone;
    record.region = m_node.settings.region;
    record.gossip = m_node.settings.gossip;
    const auto written = m_store.transact({{}, {{std::string(nodePrefix) + record.node.value, encodeMember(record), m_lease}}}, callDeadline());
    if (!answered(StoreCall::PutContact, written)) {
        return false;
    }
    m_published = record.incarnation;
    m_contact = true;
    return true;
}

/// A key that stays until its lease lapses names a living node, so it does no harm and giving it back isn't worth a call.
void StoreSync::letLeaseLapse()
{
    m_lease = 0;
    m_contact = false;
}

/// At a stop nothing may hold the process up; a lease that stays lapses by itself.
void StoreSync::endLease()
{
    if (m_lease != 0) {
        answered(StoreCall::RevokeLease, m_store.revokeLease(m_lease, deadlineAfter(Clock::now(), stopCallTimeout)));
        letLeaseLapse();
    }
}

void StoreSync::followHead()
{
    Duration pause = uniformTime(m_headRandom, startJitter);
    while (sleepFor(pause)) {
        pause = headRound();
    }
}

Duration StoreSync::headRound()
{
    const FleetRoster roster = m_peers.roster();
    m_watcher = chosen(roster, "watch", false, m_node.settings.watchersPerRegion);
    if (!m_watcher) {
        m_headRevision = 0;
        return roleRound;
    }
    m_headChanged = false;
    const bool full = m_headRevision == 0 || Clock::now() >= m_nextFullRead;
    if (!(full ? readAndApplyHead() : watchHead())) {
        return backOff(m_headFailures, m_headRandom);
    }
    m_headFailures = 0;
    return headPause();
}

/// After a change the next watch waits a moment, so that changes in quick succession come in one answer.
Duration StoreSync::headPause()
{
    return m_headChanged ? leastChangePause + uniformTime(m_headRandom, changePauseSpread) : Duration::zero();
}

bool StoreSync::readAndApplyHead()
{
    const auto reply = m_store.range(m_releases.key, callDeadline());
    if (!answered(StoreCall::ReadHead, reply)) {
        return false;
    }
    m_nextFullRead = Clock::now() + fullReadInterval;
    m_headRevision = reply.value().revision;
    for (const auto &value : reply.value().values) {
        if (value.key == m_releases.key && !applyHead(value.value)) {
            m_headRevision = 0;
            return false;
        }
    }
    return true;
}

bool StoreSync::watchHead()
{
    const auto reply = m_store.watch(m_releases.key, m_headRevision + 1, deadlineAfter(Clock::now(), watchTime), m_stopWatch.get_token());
    if (m_stopWatch.stop_requested()) {
        noteCall(StoreCall::WatchHead);
        return true;
    }
    if (!answered(StoreCall::WatchHead, reply)) {
        const bool historyKept = reply.error().kind != StoreErrorKind::Rejected && reply.error().kind != StoreErrorKind::Malformed;
        m_headRevision = historyKept ? m_headRevision : 0;
        return false;
    }
    m_headRevision = std::max(m_headRevision, reply.value().revision);
    m_headChanged = !reply.value().events.empty();
    return applyNewest(reply.value().events);
}

/// Applies the last of the head's changes, which holds all that the earlier ones brought. An earlier one serves while the last
/// can't be read.
bool StoreSync::applyNewest(const std::vector<StoreEvent> &events)
{
    for (auto event = events.rbegin(); event != events.rend(); ++event) {
        if (event->removed || event->value.key != m_releases.key) {
            continue;
        }
        if (applyHead(event->value.value)) {
            return true;
        }
        m_headRevision = 0;
    }
    return m_headRevision != 0;
}

bool StoreSync::applyHead(const std::string &bytes)
{
    const auto head = m_releases.head(bytes);
    if (!head) {
        logLine(LogLevel::Error, "damaged-record", {{"key", m_releases.key}});
        return false;
    }
    if (head->generation <= m_node.bundles.current()->head.generation) {
        return true;
    }
    noteCall(StoreCall::ReadBundle);
    const auto text = m_releases.text(m_store, *head, bytes, callDeadline());
    if (!text) {
        logLine(LogLevel::Error, "bundle-refused",
                {{"generation", static_cast<std::int64_t>(head->generation.value)}, {"digest", head->digest.value}, {"error", std::string("unreadable")}});
        return false;
    }
    const auto applied = m_node.bundles.apply(*head, text.value());
    logBundle(*head, applied);
    m_peers.wakeForGeneration();
    return applied.has_value() || std::holds_alternative<StaleGeneration>(applied.error());
}

} // namespace agatedoor
