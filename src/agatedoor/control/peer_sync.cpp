#include "peer_sync.hpp"

#include "adopt_departures.hpp"
#include "agatedoor/wire/log.hpp"
#include "evacuation_log.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds tickInterval{50};
constexpr std::chrono::milliseconds leaveFlushTimeout{300}; ///< Longest wait for the leave messages to be sent.

/// Whether the record that peers were sent is out of date. It is compared at each tick, since a backend server may go down without announcing it.
bool recordDiffers(const MemberRecord &current, const MemberRecord &announced)
{
    return current.backends != announced.backends || current.stopping != announced.stopping || current.departures != announced.departures;
}

} // namespace

PeerSync::PeerSync(NodeState &node)
    : m_node(node)
    , m_membership(startMembership({}, currentRecord(), Clock::now()))
    , m_bundles(node)
    , m_quota(node)
{
    agatedoor::addContacts(m_membership, node.settings.seeds);
    m_headPeers = headPeersOf(m_membership.table, m_membership.self, node.settings.watchersPerRegion);
}

Result<std::unique_ptr<PeerSync>, ListenError> PeerSync::start(NodeState &node)
{
    std::unique_ptr<PeerSync> sync(new PeerSync(node));
    PeerSync &target = *sync;
    BOOST_OUTCOME_TRY(target.m_transport, PeerTransport::start(node.settings.gossip, [&target](std::string bytes) { target.m_inbox.add(std::move(bytes)); }));
    node.quota.onWait([&target] { target.notifyNews(); });
    target.m_thread = std::thread([&target] { target.run(); });
    return sync;
}

PeerSync::~PeerSync()
{
    leave();
}

void PeerSync::notifyRecordChanged()
{
    m_inbox.noteRecordChanged();
}

void PeerSync::notifyNews()
{
    m_inbox.wake();
}

void PeerSync::onTick(std::function<void()> listener)
{
    const std::lock_guard lock(m_listenerMutex);
    m_tickListener = std::move(listener);
}

void PeerSync::callTickListener()
{
    const std::lock_guard lock(m_listenerMutex);
    if (m_tickListener) {
        m_tickListener();
    }
}

void PeerSync::addContacts(const std::vector<Endpoint> &contacts)
{
    const std::lock_guard lock(m_stateMutex);
    agatedoor::addContacts(m_membership, contacts);
}

void PeerSync::leave()
{
    m_inbox.stop();
    if (!m_thread.joinable()) {
        return;
    }
    m_node.quota.onWait({});
    m_thread.join();
    {
        const std::lock_guard lock(m_stateMutex);
        applyOutput(leaveFleet(m_membership, Clock::now(), m_random));
    }
    m_transport->flush(deadlineAfter(Clock::now(), leaveFlushTimeout));
}

FleetRoster PeerSync::roster() const
{
    const std::lock_guard lock(m_stateMutex);
    FleetRoster roster;
    roster.joined = m_membership.joined;
    for (const auto &[node, entry] : m_membership.table.members) {
        if (present(entry.status)) {
            roster.present.push_back(entry.record);
        }
    }
    return roster;
}

HeadPlace PeerSync::headPlace() const
{
    const std::lock_guard lock(m_stateMutex);
    return {presentMembers(m_membership).size() == 1, m_headPeers.ownRank, m_headPeers.isFirst};
}

PeerSyncStats PeerSync::stats() const
{
    const std::lock_guard lock(m_stateMutex);
    PeerSyncStats stats;
    stats.malformed = m_malformed;
    stats.overflowed = m_inbox.dropped();
    stats.bundles = m_bundles.stats();
    stats.traffic = m_transport->traffic();
    stats.joined = m_membership.joined;
    stats.held = m_membership.heldMembers;
    for (const auto &[node, entry] : m_membership.table.members) {
        stats.members += present(entry.status) ? 1 : 0;
        stats.suspects += entry.status == MemberStatus::Suspect ? 1 : 0;
        stats.lost += entry.status == MemberStatus::Dead ? 1 : 0;
    }
    return stats;
}

void PeerSync::run()
{
    TimePoint nextTick = Clock::now();
    for (;;) {
        const PeerWork work = m_inbox.wait(tickInterval);
        if (work.stop) {
            return;
        }
        callTickListener();
        const std::lock_guard lock(m_stateMutex);
        const TimePoint now = Clock::now();
        const bool tickDue = now >= nextTick;
        doWork(work, now);
        announceBackendEnds(now, tickDue);
        if (tickDue) {
            nextTick = now + tickInterval;
            tickMembership(now);
        }
        if (tickDue || work.recordChanged) {
            publishView(now);
        }
    }
}

void PeerSync::doWork(const PeerWork &work, TimePoint now)
{
    for (const auto &bytes : work.messages) {
        handleMessage(bytes, now);
    }
    if (work.recordChanged) {
        applyOutput(updateSelf(m_membership, currentRecord(), now, m_random));
    }
    announceNews(now);
    exchangeHeadConfirmations();
    sendAll(m_quota.due(m_membership));
}

void PeerSync::tickMembership(TimePoint now)
{
    drainBackendsThatSaidTheyLeave();
    if (recordDiffers(currentRecord(), m_membership.self)) {
        applyOutput(updateSelf(m_membership, currentRecord(), now, m_random));
    }
    applyOutput(tick(m_membership, now, m_random));
}

void PeerSync::drainBackendsThatSaidTheyLeave()
{
    for (const auto &departure : m_node.localBackends.applySaidLeaves(readClocks())) {
        logLine(LogLevel::Info, "drain", {{"backend", departure.backend.value}, {"outcome", std::string("said-in-answer")}});
    }
}

void PeerSync::handleMessage(const std::string &bytes, TimePoint now)
{
    const auto message = decodePeerMessage(bytes);
    if (!message) {
        ++m_malformed;
        return;
    }
    if (m_node.storeEra.raise(message->storeEra)) {
        logLine(LogLevel::Info, "store-era", {{"era", static_cast<std::int64_t>(message->storeEra.value)}, {"peer", message->from.value}});
    }
    applyOutput(receive(m_membership, *message, now, m_random));
    takeHeadMessage(*message);
    sendAll(m_quota.take(*message, m_membership));
    sendAll(m_bundles.take(*message, bytes.size(), m_membership, now));
}

void PeerSync::announceNews(TimePoint now)
{
    const auto inForce = m_node.bundles.current();
    const bool newer = inForce->head.generation > m_membership.generation;
    if (newer) {
        m_bundles.noteInForce(*inForce);
    }
    const StoreEra eraBefore = std::exchange(m_membership.storeEra, m_node.storeEra.value());
    if (newer || eraBefore < m_membership.storeEra) {
        applyOutput(announceGeneration(m_membership, inForce->head.generation, now, m_random));
    }
}

void PeerSync::takeHeadMessage(const PeerMessage &message)
{
    const BootTime now = BootClock::now();
    if (message.kind == PeerMessageKind::HeadQuestion) {
        holdHeadQuestion(m_headExchange, message, now);
    }
    const auto told = message.kind == PeerMessageKind::HeadAnswer ? takeHeadAnswer(m_headExchange, message, now) : std::nullopt;
    if (told && m_node.headConfirmation.record(*told, m_node.bundles.current()->head.generation)) {
        logEvacuations(told->evacuated, told->from, now - told->at);
    }
}

/// Answers peers that wait for a newer confirmation of the head than they know, and asks for one.
void PeerSync::exchangeHeadConfirmations()
{
    const BootTime now = BootClock::now();
    SharedHeadConfirmation &known = m_node.headConfirmation;
    known.noteInForce(m_node.bundles.current()->head.generation);
    for (auto &answer : dueHeadAnswers(m_headExchange, m_membership, known.current())) {
        m_transport->send(answer.to, std::move(answer.bytes));
    }
    auto question = dueHeadQuestion(m_headExchange, m_membership, m_headPeers, known.newestAt(), now, m_random);
    if (question) {
        m_transport->send(question->to, std::move(question->bytes));
    }
}

/// Tells peers what this node has learned of unexpected ends of backend servers.
/// @param refresh also forgets old ends, without any news
void PeerSync::announceBackendEnds(TimePoint now, bool refresh)
{
    const std::vector<BackendEnd> news = m_node.backendEnds.takeNews();
    if (!news.empty() || (refresh && !m_membership.ends.byId.empty())) {
        applyOutput(announceEnds(m_membership, m_node.backendEnds.current(now), news, now, m_random));
    }
}

void PeerSync::sendAll(std::vector<Outgoing> messages)
{
    for (auto &message : messages) {
        m_transport->send(message.to, std::move(message.bytes));
    }
}

void PeerSync::applyOutput(MembershipOutput output)
{
    m_node.backendEnds.merge(output.ends);
    for (const auto &endpoint : output.connectionsToReopen) {
        if (m_transport->disconnect(endpoint)) {
            logDecision("peer-connection-distrusted", {{"address", toText(endpoint)}, {"outcome", "closed"}});
        }
    }
    for (auto &outgoing : output.messages) {
        m_transport->send(outgoing.to, std::move(outgoing.bytes));
    }
    if (!output.departures.empty()) {
        adoptDepartures(m_node.localBackends, output.departures, Clock::now());
    }
    if (output.earlierProcessTold) {
        m_node.earlierProcessTold.store(true);
    }
    if (output.incarnationChanged) {
        m_node.incarnation = m_membership.self.incarnation;
    }
    m_viewChanged = m_viewChanged || output.viewChanged;
}

/// Publishes the fleet view for request threads if the membership table changed.
void PeerSync::publishView(TimePoint now)
{
    if (!m_viewChanged) {
        return;
    }
    m_viewChanged = false;
    m_headPeers = headPeersOf(m_membership.table, m_membership.self, m_node.settings.watchersPerRegion);
    logMemberChanges(m_memberLog, m_membership);
    const NodeLocation here{m_node.settings.node, m_node.settings.zone, m_node.settings.region};
    m_node.fleet.publish(buildView(m_membership.table, here, *m_node.fleet.current(), now, m_membership.heldMembers > 0));
}

MemberRecord PeerSync::currentRecord() const
{
    const Settings &settings = m_node.settings;
    MemberRecord record;
    record.node = settings.node;
    record.incarnation = {m_node.incarnation.value.load()};
    record.zone = settings.zone;
    record.region = settings.region;
    record.peers = settings.peers;
    record.gossip = settings.gossip;
    record.stopping = m_node.refusingPeers.load();
    const auto backends = m_node.localBackends.current();
    for (const auto &[id, backend] : backends->backends) {
        record.backends.push_back(recordForFleet(backend));
    }
    record.departures = m_node.localBackends.departures(Clock::now());
    return record;
}

} // namespace agatedoor
