#include "store_sync.hpp"

#include "agatedoor/base/enum_names.hpp"
#include "agatedoor/base/random_time.hpp"
#include "agatedoor/wire/log.hpp"
#include "bundle_log.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::string_view nodePrefix = "/agatedoor/nodes/";
constexpr ContactOptions contactOptions{};
constexpr HeadWatchOptions headWatchOptions{};
constexpr std::chrono::seconds leaseTtl{15};
constexpr std::chrono::seconds leaseRenewalInterval{4};
constexpr Duration roundInterval = std::chrono::milliseconds(500);
constexpr Duration isolatedRoundInterval = std::chrono::milliseconds(50); ///< While this node knows no other member.
constexpr Duration followPeersInterval = std::chrono::seconds(1); ///< While peers deliver the bundles.
constexpr Duration waitForBundleInterval = std::chrono::milliseconds(50); ///< While this node has no bundle.
constexpr std::chrono::seconds callTimeout{2};
constexpr std::chrono::milliseconds stopCallTimeout{200}; ///< For the call that removes the contact key at a stop.
/// Between looks at the newest era in a longer pause. Nodes look at different times, which spreads their calls after a restore.
constexpr Duration eraLookInterval = std::chrono::milliseconds(500);
constexpr std::chrono::seconds watchTimeout{25}; ///< Bounds how long a dead connection goes unnoticed; meanwhile peers announce new generations.
constexpr std::chrono::seconds fullReadInterval{60}; ///< Between full reads of the head, beside the watch.
constexpr Duration minChangePause = std::chrono::milliseconds(200);
/// Randomizes the pause; nodes whose pause ends first announce the change to the others.
constexpr Duration changePauseSpread = std::chrono::milliseconds(400);
constexpr std::chrono::milliseconds startJitter{50}; ///< Spreads the first calls of nodes that start at the same time.
constexpr std::chrono::milliseconds minBackOff{200};
constexpr int maxBackOffDoublings = 5;

Deadline callDeadline()
{
    return deadlineAfter(Clock::now(), callTimeout);
}

ContactRole contactRoleStartedNow()
{
    ContactRole role;
    role.startedAt = Clock::now();
    return role;
}

HeadWatchState headWatchStartedNow()
{
    HeadWatchState state;
    state.startedAt = Clock::now();
    return state;
}

std::int64_t loggable(StoreEra era)
{
    return static_cast<std::int64_t>(era.value);
}

/// The reply to a watch from revision @p from holds each change with its whole value, so that one which comes late is large.
void logWatchReply(Revision from, const WatchReply &reply)
{
    std::int64_t bytes = 0;
    for (const auto &event : reply.events) {
        bytes += static_cast<std::int64_t>(event.value.value.size());
    }
    logLine(LogLevel::Info, reply.events.empty() ? "head-unchanged" : "head-changed",
            {{"changes", static_cast<std::int64_t>(reply.events.size())},
             {"bytes", bytes},
             {"from", from},
             {"revision", reply.revision},
             {"era", loggable(reply.era)}});
}

constexpr std::array callNames{
    std::pair{StoreCall::ReadContacts, std::string_view{"read-contacts"}},   std::pair{StoreCall::GrantLease, std::string_view{"grant-lease"}},
    std::pair{StoreCall::PutContact, std::string_view{"put-contact"}},       std::pair{StoreCall::KeepLease, std::string_view{"keep-lease"}},
    std::pair{StoreCall::RemoveContact, std::string_view{"remove-contact"}}, std::pair{StoreCall::ReadHead, std::string_view{"read-head"}},
    std::pair{StoreCall::WatchHead, std::string_view{"watch-head"}},         std::pair{StoreCall::ReadBundle, std::string_view{"read-bundle"}},
};
static_assert(callNames.size() == storeCallCount);

} // namespace

std::string_view wireName(StoreCall call)
{
    return enumName(callNames, call);
}

StoreSync::StoreSync(NodeState &node, PeerSync &peers, Store store, ReleaseSource releases)
    : m_node(node)
    , m_peers(peers)
    , m_store(std::move(store))
    , m_releases(std::move(releases))
    , m_contactRole(contactRoleStartedNow())
    , m_headWatch(headWatchStartedNow())
    , m_contactThread([this] { runContactThread(); })
    , m_headThread([this] { runHeadThread(); })
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
        m_watchStop.request_stop();
    }
    m_stopSignal.notify_all();
}

StoreSyncStats StoreSync::stats() const
{
    StoreSyncStats stats{{}, m_failures.load(), m_contact.load(), m_watcher.load(), m_reachable.load()};
    std::copy(m_calls.begin(), m_calls.end(), stats.calls.begin());
    return stats;
}

void StoreSync::countCall(StoreCall call)
{
    ++m_calls.at(static_cast<std::size_t>(call));
}

bool StoreSync::sleepFor(Duration time)
{
    std::unique_lock lock(m_mutex);
    return !m_stopSignal.wait_for(lock, time, [this] { return m_stop; });
}

/// Like sleepFor, but ends early when the store turns out to have been restored.
bool StoreSync::sleepUnlessRestored(Duration time)
{
    const StoreEra era = m_node.storeEra.value();
    const Deadline end = deadlineAfter(Clock::now(), time);
    do {
        if (!sleepFor(std::min(remaining(end, Clock::now()), eraLookInterval))) {
            return false;
        }
    } while (!expired(end, Clock::now()) && m_node.storeEra.value() == era);
    return true;
}

Duration StoreSync::nextBackOff(int &failed, Random &random) const
{
    const Duration limit = minBackOff * (1 << std::min(failed++, maxBackOffDoublings));
    return minBackOff / 2 + uniformTime(random, limit);
}

/// Whether the store answered a call that failed with @p error, and will answer others.
bool isAnswered(StoreErrorKind error)
{
    return error == StoreErrorKind::Rejected || error == StoreErrorKind::Restored;
}

/// Counts and logs @p result of a call. The store counts as lost unless it answered the call.
template <typename T>
bool StoreSync::recordResult(StoreCall call, const StoreResult<T> &result)
{
    countCall(call);
    const bool failed = !result && !isAnswered(result.error().kind);
    m_reachable = !failed;
    if (m_storeLost.exchange(failed) != failed) {
        logLine(failed ? LogLevel::Warn : LogLevel::Info, failed ? "store-lost" : "store-regained", {{"call", std::string(wireName(call))}});
    }
    noteEra(call);
    if (!result) {
        ++m_failures;
        logLine(LogLevel::Warn, "store-call-failed", {{"call", std::string(wireName(call))}, {"error", std::string(wireName(result.error().kind))}});
    }
    return result.has_value();
}

/// Takes over the era that replies of the store name. Peers learn it with the next messages.
void StoreSync::noteEra(StoreCall call)
{
    const StoreEra era = m_store.newestEra();
    if (m_node.storeEra.raise(era)) {
        logLine(LogLevel::Info, "store-era", {{"era", loggable(era)}, {"call", std::string(wireName(call))}});
        m_peers.notifyGenerationChanged();
    }
}

/// Whether rendezvous hashing selects this node among the members of its region. Stopping members are left out.
bool StoreSync::isChosen(const FleetRoster &roster, std::string_view purpose, std::size_t count) const
{
    const Settings &settings = m_node.settings;
    std::vector<NodeId> candidates;
    for (const auto &record : roster.present) {
        if (record.region == settings.region && !record.stopping) {
            candidates.push_back(record.node);
        }
    }
    const auto nodes = rendezvous(candidates, purpose, count);
    return std::find(nodes.begin(), nodes.end(), settings.node) != nodes.end();
}

void StoreSync::runContactThread()
{
    Duration pause = uniformTime(m_contactRandom, startJitter);
    while (sleepUnlessRestored(pause)) {
        endWatchOfOtherEra();
        dropLeaseOfOtherEra();
        pause = contactRound();
    }
    removeContactAtStop();
}

Duration StoreSync::contactRound()
{
    const FleetRoster roster = m_peers.roster();
    ContactView view;
    view.isolated = roster.present.size() == 1;
    view.chosen = isChosen(roster, "contact", contactOptions.perRegion);
    view.registered = m_registered;
    const ContactRead read = dueContactRead(m_contactRole, view, contactOptions, m_contactRandom, Clock::now());
    if (read != ContactRead::None && !readContacts(read)) {
        return nextBackOff(m_contactFailures, m_contactRandom);
    }
    if (!shouldRegister(m_contactRole, view, contactOptions, Clock::now())) {
        abandonLease();
    } else if (!maintainContactKey()) {
        return nextBackOff(m_contactFailures, m_contactRandom);
    }
    m_contactFailures = 0;
    return view.isolated ? isolatedRoundInterval : roundInterval;
}

bool StoreSync::readContacts(ContactRead read)
{
    const auto &range = read == ContactRead::Latest ? m_store.range : m_store.rangeStale;
    const auto reply = range(std::string(nodePrefix), callDeadline());
    if (!recordResult(StoreCall::ReadContacts, reply)) {
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
    setRegionContacts(m_contactRole, regionContacts);
    m_peers.addContacts(contacts);
    return true;
}

bool StoreSync::renewLeaseIfDue()
{
    if (Clock::now() < m_nextLeaseRenewal) {
        return true;
    }
    const auto renewed = m_store.keepLease(m_lease, callDeadline());
    if (!recordResult(StoreCall::KeepLease, renewed)) {
        if (renewed.error().kind == StoreErrorKind::Rejected) { // After Busy the lease may still exist.
            abandonLease();
        }
        return false;
    }
    m_nextLeaseRenewal = Clock::now() + leaseRenewalInterval;
    return true;
}

bool StoreSync::acquireLease()
{
    const auto granted = m_store.grantLease(leaseTtl, callDeadline());
    if (!recordResult(StoreCall::GrantLease, granted)) {
        return false;
    }
    m_lease = granted.value();
    m_registered = true;
    m_publishedIncarnation = {};
    m_nextLeaseRenewal = Clock::now() + leaseRenewalInterval;
    return true;
}

/// Keeps this node's contact key in the store under a lease. The key is rewritten when the node's incarnation changed.
bool StoreSync::maintainContactKey()
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
    if (!recordResult(StoreCall::PutContact, written)) {
        return false;
    }
    m_publishedIncarnation = record.incarnation;
    m_contactRevision = written.value().revision;
    m_contact = true;
    return true;
}

/// Gives up a lease of before a restore, which may be another node's by now, and the contact key with it, which may be gone. The next round
/// registers this node anew.
void StoreSync::dropLeaseOfOtherEra()
{
    if (m_lease.id != 0 && m_lease.era != m_node.storeEra.value()) {
        m_lease = {};
        m_contact = false;
    }
}

/// Stops renewing the lease. The contact key remains until the lease expires; since it names a running node, it does no harm and removing it
/// isn't worth a call.
void StoreSync::abandonLease()
{
    m_lease = {};
    m_registered = false;
    m_contact = false;
}

std::string StoreSync::contactKey() const
{
    return std::string(nodePrefix) + m_node.settings.node.value;
}

/// Removes the contact key, with a short timeout so as not to delay the stop. If the call fails, the key goes with its lease, which expires by
/// itself. The lease isn't revoked: after a restore its id may be another node's.
void StoreSync::removeContactAtStop()
{
    if (m_contact) {
        const StoreTransaction removal{.conditions = {{contactKey(), m_contactRevision}}, .puts = {}, .removes = {contactKey()}, .era = m_lease.era};
        recordResult(StoreCall::RemoveContact, m_store.transact(removal, deadlineAfter(Clock::now(), stopCallTimeout)));
        abandonLease();
    }
}

void StoreSync::runHeadThread()
{
    Duration pause = uniformTime(m_headRandom, startJitter);
    while (sleepUnlessRestored(pause)) {
        pause = headRound();
    }
}

bool StoreSync::hasBundle() const
{
    return m_node.bundles.current()->head.generation.value != 0;
}

HeadAction StoreSync::dueHeadAction()
{
    const FleetRoster roster = m_peers.roster();
    HeadWatchView view;
    view.isolated = roster.present.size() == 1;
    view.selected = isChosen(roster, "watch", m_node.settings.watchersPerRegion);
    view.isContact = m_contact;
    view.hasBundle = hasBundle();
    return nextHeadAction(m_headWatch, view, headWatchOptions, Clock::now());
}

Duration StoreSync::headRound()
{
    const HeadAction action = dueHeadAction();
    const bool watching = action == HeadAction::Watch;
    if (m_watcher.exchange(watching) != watching) {
        logLine(LogLevel::Info, "head-watch", {{"outcome", std::string(watching ? "begun" : "ended")}});
    }
    if (!watching || m_headPosition.era != m_node.storeEra.value()) {
        m_headPosition = {};
    }
    if (action == HeadAction::None) {
        return m_headWatch.joined && hasBundle() ? followPeersInterval : waitForBundleInterval;
    }
    m_headChanged = false;
    const HeadKnowledge knowledge{m_headPosition.revision != 0, {m_nextFullRead}, m_node.bundles.current()->head.generation, m_headGeneration};
    if (!(shouldReadHead(knowledge, Clock::now()) ? readAndApplyHead() : watchHead())) {
        recordFailedRead(m_headWatch, Clock::now());
        return nextBackOff(m_headFailures, m_headRandom);
    }
    m_headFailures = 0;
    return headPause();
}

/// Pause before the next watch: none, or after a change a random time, so that changes in quick succession arrive in one reply.
Duration StoreSync::headPause()
{
    return m_headChanged ? minChangePause + uniformTime(m_headRandom, changePauseSpread) : Duration::zero();
}

bool StoreSync::readAndApplyHead()
{
    const Generation before = m_node.bundles.current()->head.generation;
    const auto reply = m_store.range(m_releases.key, callDeadline());
    if (!recordResult(StoreCall::ReadHead, reply)) {
        return false;
    }
    logLine(LogLevel::Info, "head-read", {{"revision", reply.value().revision}, {"era", loggable(reply.value().era)}});
    m_nextFullRead = Clock::now() + fullReadInterval;
    m_headPosition = {reply.value().revision, reply.value().era};
    m_headPositionUnconfirmed = false;
    for (const auto &value : reply.value().values) {
        if (value.key == m_releases.key && !applyHead(value.value)) {
            m_headPosition = {};
            return false;
        }
    }
    m_headGeneration = std::max(m_headGeneration, before);
    return m_headPosition.era == m_node.storeEra.value(); // Otherwise the reply crossed one of a newer era.
}

/// Lets the watch that follows be ended by endWatchOfOtherEra() and by a stop.
std::stop_token StoreSync::beginWatch()
{
    const std::lock_guard lock(m_mutex);
    m_watchStop = {};
    m_watchedEra = m_headPosition.era;
    if (m_stop) {
        m_watchStop.request_stop();
    }
    return m_watchStop.get_token();
}

/// Ends a watch that began before a restore: the store may never answer it.
void StoreSync::endWatchOfOtherEra()
{
    const std::lock_guard lock(m_mutex);
    if (m_watchedEra != m_node.storeEra.value()) {
        m_watchStop.request_stop();
    }
}

StoreResult<WatchReply> StoreSync::askForHeadChanges()
{
    const StorePosition from{m_headPosition.revision + 1, m_headPosition.era};
    if (m_headPositionUnconfirmed) {
        return m_store.poll(m_releases.key, from, callDeadline());
    }
    return m_store.watch(m_releases.key, from, deadlineAfter(Clock::now(), watchTimeout), beginWatch());
}

/// Keeps the position for the next watch unless the store has dropped the history since, or has been restored.
/// @return false
bool StoreSync::recordFailedWatch(StoreErrorKind error)
{
    m_headPositionUnconfirmed = true;
    if (isAnswered(error) || error == StoreErrorKind::Malformed) {
        m_headPosition = {};
        m_headFailures = 0; // The store is back, so the full read need not wait long.
    }
    return false;
}

bool StoreSync::watchHead()
{
    const auto reply = askForHeadChanges();
    if (!reply && m_watchStop.stop_requested()) {
        countCall(StoreCall::WatchHead);
        return true;
    }
    if (!recordResult(StoreCall::WatchHead, reply)) {
        return recordFailedWatch(reply.error().kind);
    }
    m_headPositionUnconfirmed = false;
    logWatchReply(m_headPosition.revision + 1, reply.value());
    m_headPosition.revision = std::max(m_headPosition.revision, reply.value().revision);
    m_headChanged = !reply.value().events.empty();
    return applyNewestHead(reply.value().events);
}

/// Applies the last change of the head, which supersedes earlier ones. While it can't be read, the last readable one is applied and the head
/// is read in full in the next round.
bool StoreSync::applyNewestHead(const std::vector<StoreEvent> &events)
{
    for (auto event = events.rbegin(); event != events.rend(); ++event) {
        if (event->removed || event->value.key != m_releases.key) {
            continue;
        }
        if (applyHead(event->value.value)) {
            return true;
        }
        m_headPosition = {};
    }
    return m_headPosition.revision != 0;
}

bool StoreSync::applyHead(const std::string &bytes)
{
    const auto head = m_releases.head(bytes);
    if (!head) {
        logLine(LogLevel::Error, "damaged-record", {{"key", m_releases.key}});
        return false;
    }
    m_headGeneration = std::max(m_headGeneration, head->generation);
    if (head->generation <= m_node.bundles.current()->head.generation) {
        return true;
    }
    countCall(StoreCall::ReadBundle);
    const auto text = m_releases.text(m_store, *head, bytes, callDeadline());
    if (!text) {
        logLine(LogLevel::Error, "bundle-refused",
                {{"generation", static_cast<std::int64_t>(head->generation.value)}, {"digest", head->digest.value}, {"error", std::string("unreadable")}});
        return false;
    }
    const auto applied = m_node.bundles.apply(*head, text.value());
    logBundleResult(*head, {{}, bytes.size(), {}}, applied);
    m_peers.notifyGenerationChanged();
    return applied.has_value() || std::holds_alternative<StaleGeneration>(applied.error());
}

} // namespace agatedoor
