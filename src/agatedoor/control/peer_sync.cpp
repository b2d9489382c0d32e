#include "peer_sync.hpp"

#include "adopt_departures.hpp"
#include "agatedoor/wire/log.hpp"
#include "bundle_log.hpp"
#include "evacuation_log.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds tickInterval{50};
constexpr std::size_t inboxLimit = 4096; ///< Messages; when full, the oldest is dropped.
constexpr std::chrono::milliseconds leaveFlushTimeout{300}; ///< Longest wait for the leave messages to be sent.

/// Logs that a member was lost or came back. Members seen for the first time are not logged here; their number is part of the
/// "joined" line.
void logStatusChange(const MemberEntry &entry, MemberStatus before)
{
    const bool lost = present(before) && !present(entry.status);
    const bool regained = !present(before) && present(entry.status);
    if (!lost && !regained) {
        return;
    }
    logLine(LogLevel::Info, lost ? "member-lost" : "member-regained",
            {{"member", entry.record.node.value},
             {"zone", entry.record.zone.value},
             {"incarnation", static_cast<std::int64_t>(entry.record.incarnation.value)},
             {"version", static_cast<std::int64_t>(entry.record.version.value)},
             {"status_before", std::string(wireName(before))},
             {"status", std::string(wireName(entry.status))}});
}

/// Whether the record that peers were sent is out of date. It is compared at each tick, since a backend server may go down without announcing it.
bool recordDiffers(const MemberRecord &current, const MemberRecord &announced)
{
    return current.backends != announced.backends || current.stopping != announced.stopping || current.departures != announced.departures;
}

} // namespace

PeerSync::PeerSync(NodeState &node)
    : m_node(node)
    , m_membership(startMembership({}, currentRecord(), Clock::now()))
    , m_exchange(startBundleExchange({}, Clock::now()))
    , m_quota(node)
{
    agatedoor::addContacts(m_membership, node.settings.seeds);
    m_headPeers = headPeersOf(m_membership.table, m_membership.self, node.settings.watchersPerRegion);
}

Result<std::unique_ptr<PeerSync>, ListenError> PeerSync::start(NodeState &node)
{
    std::unique_ptr<PeerSync> sync(new PeerSync(node));
    PeerSync &target = *sync;
    BOOST_OUTCOME_TRY(target.m_transport, PeerTransport::start(node.settings.gossip, [&target](std::string bytes) { target.enqueue(std::move(bytes)); }));
    node.quota.onWait([&target] { target.notifyQuotaAsked(); });
    target.m_thread = std::thread([&target] { target.run(); });
    return sync;
}

PeerSync::~PeerSync()
{
    leave();
}

void PeerSync::notifyRecordChanged()
{
    {
        const std::lock_guard lock(m_inboxMutex);
        m_recordChanged = true;
    }
    m_workAvailable.notify_all();
}

void PeerSync::notifyGenerationChanged()
{
    {
        const std::lock_guard lock(m_inboxMutex);
        m_generationChanged = true;
    }
    m_workAvailable.notify_all();
}

void PeerSync::notifyHeadConfirmed()
{
    {
        const std::lock_guard lock(m_inboxMutex);
        m_headConfirmed = true;
    }
    m_workAvailable.notify_all();
}

void PeerSync::notifyQuotaAsked()
{
    {
        const std::lock_guard lock(m_inboxMutex);
        m_quotaAsked = true;
    }
    m_workAvailable.notify_all();
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
    {
        const std::lock_guard lock(m_inboxMutex);
        m_stop = true;
    }
    m_workAvailable.notify_all();
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
    PeerSyncStats stats = m_stats;
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

void PeerSync::enqueue(std::string bytes)
{
    {
        const std::lock_guard lock(m_inboxMutex);
        if (m_inbox.size() >= inboxLimit) {
            m_inbox.pop_front();
            ++m_overflowed;
        }
        m_inbox.push_back(std::move(bytes));
    }
    m_workAvailable.notify_all();
}

std::deque<std::string> PeerSync::waitForWork(bool &recordChanged)
{
    std::unique_lock lock(m_inboxMutex);
    m_workAvailable.wait_for(lock, tickInterval,
                             [this] { return m_stop || m_recordChanged || m_generationChanged || m_headConfirmed || m_quotaAsked || !m_inbox.empty(); });
    m_generationChanged = false;
    m_headConfirmed = false;
    m_quotaAsked = false;
    recordChanged = std::exchange(m_recordChanged, false);
    return std::exchange(m_inbox, {});
}

void PeerSync::run()
{
    bool recordChanged = false;
    TimePoint nextTick = Clock::now();
    for (;;) {
        const std::deque<std::string> messages = waitForWork(recordChanged);
        {
            const std::lock_guard lock(m_inboxMutex);
            if (m_stop) {
                return;
            }
        }
        callTickListener();
        const std::lock_guard lock(m_stateMutex);
        const TimePoint now = Clock::now();
        for (const auto &bytes : messages) {
            handleMessage(bytes, now);
        }
        if (recordChanged) {
            applyOutput(updateSelf(m_membership, currentRecord(), now, m_random));
        }
        announceNews(now);
        exchangeHeadConfirmations();
        sendAll(m_quota.due(m_membership));
        announceBackendEnds(now, now >= nextTick);
        if (now >= nextTick) {
            nextTick = now + tickInterval;
            drainBackendsThatSaidTheyLeave();
            if (recordDiffers(currentRecord(), m_membership.self)) {
                applyOutput(updateSelf(m_membership, currentRecord(), now, m_random));
            }
            applyOutput(tick(m_membership, now, m_random));
            publishView(now);
        } else if (recordChanged) {
            publishView(now);
        }
    }
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
        ++m_stats.malformed;
        return;
    }
    if (m_node.storeEra.raise(message->storeEra)) {
        logLine(LogLevel::Info, "store-era", {{"era", static_cast<std::int64_t>(message->storeEra.value)}, {"peer", message->from.value}});
    }
    applyOutput(receive(m_membership, *message, now, m_random));
    if (message->kind == PeerMessageKind::BundleRequest) {
        sendBundle(*message, now);
    } else if (message->kind == PeerMessageKind::BundleReply) {
        applyBundleReply(*message, bytes.size(), now);
    }
    takeHeadMessage(*message);
    sendAll(m_quota.take(*message, m_membership));
    requestNewerBundle(*message, now);
}

/// Requests the bundle from the sender of @p message when the sender has a newer generation.
void PeerSync::requestNewerBundle(const PeerMessage &message, TimePoint now)
{
    const auto request = requestBundle(m_exchange, message, *m_node.bundles.current(), m_membership, now);
    if (request) {
        logBundleRequest(message.generation, message.from, message.region == m_membership.self.region);
        m_transport->send(message.replyTo, encodePeerMessage(*request));
    }
}

void PeerSync::sendBundle(const PeerMessage &request, TimePoint now)
{
    const auto inForce = m_node.bundles.current();
    auto answer = answerBundleRequest(m_exchange, request, *inForce, m_membership.self, now);
    if (!answer) {
        return;
    }
    logBundleReply(inForce->head.generation, request.from, answer->bytes.size(), answer->withinBudget);
    if (answer->withinBudget) {
        m_stats.bundleBytes += answer->bytes.size();
        m_transport->send(request.replyTo, std::move(answer->bytes));
    }
}

void PeerSync::applyBundleReply(const PeerMessage &reply, std::size_t bytes, TimePoint now)
{
    if (reply.head.generation <= m_node.bundles.current()->head.generation) {
        return;
    }
    const auto text = textOf(m_exchange, reply);
    const auto applied = text ? m_node.bundles.apply(reply.head, *text) : Result<Generation, ApplyError>(ApplyError{DigestMismatch{reply.head.digest, {}}});
    logBundleResult(reply.head, {reply.from, bytes, now - m_exchange.fetch.behindSince}, applied, *m_node.bundles.current());
    if (applied) {
        ++m_stats.bundlesFetched;
        return;
    }
    ++m_stats.bundlesRefused;
    recordRefusedReply(m_exchange, reply, now);
}

void PeerSync::announceNews(TimePoint now)
{
    const auto inForce = m_node.bundles.current();
    const bool newer = inForce->head.generation > m_membership.generation;
    if (newer) {
        recordInForce(m_exchange, *inForce);
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
    logMemberChanges();
    const NodeLocation here{m_node.settings.node, m_node.settings.zone, m_node.settings.region};
    m_node.fleet.publish(buildView(m_membership.table, here, *m_node.fleet.current(), now, m_membership.heldMembers > 0));
    const std::lock_guard lock(m_inboxMutex);
    m_stats.overflowed = m_overflowed;
}

void PeerSync::logMemberChanges()
{
    std::map<NodeId, MemberStatus> statuses;
    for (const auto &[node, entry] : m_membership.table.members) {
        statuses[node] = entry.status;
        const auto before = m_loggedStatuses.find(node);
        if (before != m_loggedStatuses.end()) {
            logStatusChange(entry, before->second);
        }
    }
    m_loggedStatuses = std::move(statuses);
    if (m_membership.joined && !m_joinLogged) {
        m_joinLogged = true;
        logLine(LogLevel::Info, "joined", {{"members", static_cast<std::int64_t>(m_loggedStatuses.size())}});
    }
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
