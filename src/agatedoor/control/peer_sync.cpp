#include "peer_sync.hpp"

#include "agatedoor/wire/log.hpp"
#include "bundle_log.hpp"
#include "departure_log.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds tickInterval{50};
constexpr std::size_t inboxLimit = 4096;
constexpr std::chrono::milliseconds farewellTime{300};
constexpr std::size_t representatives = 2;
/// Bundles are few and large, so they have a budget of their own, in bytes.
constexpr TokenBucketOptions bundleBudget{2'000'000, 4'000'000};

/// Logs a member that was lost, or that is back. Members that are met for the first time are counted in one line elsewhere.
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

/// Whether what this node says of itself is out of date; a backend server may go down without an announcement.
bool differs(const MemberRecord &present, const MemberRecord &told)
{
    return present.backends != told.backends || present.stopping != told.stopping || present.departures != told.departures;
}

} // namespace

PeerSync::PeerSync(NodeState &node)
    : m_node(node)
    , m_membership(startMembership({}, selfRecord(), Clock::now()))
    , m_bundleBudget(fullBucket(bundleBudget, Clock::now()))
{
    agatedoor::addContacts(m_membership, node.settings.seeds);
}

Result<std::unique_ptr<PeerSync>, ListenError> PeerSync::start(NodeState &node)
{
    std::unique_ptr<PeerSync> sync(new PeerSync(node));
    PeerSync &target = *sync;
    BOOST_OUTCOME_TRY(target.m_transport, PeerTransport::start(node.settings.gossip, [&target](std::string bytes) { target.enqueue(std::move(bytes)); }));
    target.m_thread = std::thread([&target] { target.run(); });
    return sync;
}

PeerSync::~PeerSync()
{
    leave();
}

void PeerSync::wake()
{
    {
        const std::lock_guard lock(m_inboxMutex);
        m_changed = true;
    }
    m_work.notify_all();
}

void PeerSync::wakeForGeneration()
{
    {
        const std::lock_guard lock(m_inboxMutex);
        m_generationChanged = true;
    }
    m_work.notify_all();
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
    m_work.notify_all();
    if (!m_thread.joinable()) {
        return;
    }
    m_thread.join();
    {
        const std::lock_guard lock(m_stateMutex);
        perform(leaveFleet(m_membership, Clock::now(), m_random));
    }
    m_transport->flush(deadlineAfter(Clock::now(), farewellTime));
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

PeerSyncFigures PeerSync::figures() const
{
    const std::lock_guard lock(m_stateMutex);
    PeerSyncFigures figures = m_figures;
    figures.traffic = m_transport->traffic();
    figures.joined = m_membership.joined;
    figures.held = m_membership.heldMembers;
    for (const auto &[node, entry] : m_membership.table.members) {
        figures.members += present(entry.status) ? 1 : 0;
        figures.suspects += entry.status == MemberStatus::Suspect ? 1 : 0;
        figures.lost += entry.status == MemberStatus::Dead ? 1 : 0;
    }
    return figures;
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
    m_work.notify_all();
}

std::deque<std::string> PeerSync::waitForWork(bool &changed)
{
    std::unique_lock lock(m_inboxMutex);
    m_work.wait_for(lock, tickInterval, [this] { return m_stop || m_changed || m_generationChanged || !m_inbox.empty(); });
    m_generationChanged = false;
    changed = std::exchange(m_changed, false);
    return std::exchange(m_inbox, {});
}

void PeerSync::run()
{
    bool changed = false;
    TimePoint nextTick = Clock::now();
    for (;;) {
        const std::deque<std::string> messages = waitForWork(changed);
        {
            const std::lock_guard lock(m_inboxMutex);
            if (m_stop) {
                return;
            }
        }
        const std::lock_guard lock(m_stateMutex);
        const TimePoint now = Clock::now();
        for (const auto &bytes : messages) {
            handle(bytes, now);
        }
        if (changed) {
            perform(describeSelf(m_membership, selfRecord(), now, m_random));
        }
        noteGeneration(now);
        if (now >= nextTick) {
            nextTick = now + tickInterval;
            if (differs(selfRecord(), m_membership.self)) {
                perform(describeSelf(m_membership, selfRecord(), now, m_random));
            }
            perform(tick(m_membership, now, m_random));
            publishView(now);
        } else if (changed) {
            publishView(now);
        }
    }
}

void PeerSync::handle(const std::string &bytes, TimePoint now)
{
    const auto message = decodePeerMessage(bytes);
    if (!message) {
        ++m_figures.malformed;
        return;
    }
    perform(receive(m_membership, *message, now, m_random));
    if (message->kind == PeerMessageKind::BundleRequest) {
        answerBundle(*message, now);
    } else if (message->kind == PeerMessageKind::BundleReply) {
        takeBundle(*message, now);
    }
    heard(*message, now);
}

bool PeerSync::representative() const
{
    std::vector<NodeId> candidates;
    for (const auto &[node, entry] : m_membership.table.members) {
        if (present(entry.status) && entry.record.region == m_membership.self.region) {
            candidates.push_back(node);
        }
    }
    const auto chosen = rendezvous(candidates, "bundle", representatives);
    return std::find(chosen.begin(), chosen.end(), m_membership.self.node) != chosen.end();
}

void PeerSync::heard(const PeerMessage &message, TimePoint now)
{
    const Generation inForce = m_node.bundles.current()->head.generation;
    if (message.generation <= inForce) {
        return;
    }
    const bool sameRegion = message.region == m_membership.self.region;
    if (!shouldFetch(m_fetch, {message.generation, sameRegion, !sameRegion && representative()}, inForce, now)) {
        return;
    }
    PeerMessage request;
    request.kind = PeerMessageKind::BundleRequest;
    request.from = m_membership.self.node;
    request.region = m_membership.self.region;
    request.replyTo = m_membership.self.gossip;
    request.generation = inForce;
    m_transport->send(message.replyTo, encodePeerMessage(request));
}

void PeerSync::answerBundle(const PeerMessage &request, TimePoint now)
{
    const auto bundle = m_node.bundles.current();
    if (bundle->head.generation <= request.generation) {
        return;
    }
    PeerMessage reply;
    reply.kind = PeerMessageKind::BundleReply;
    reply.from = m_membership.self.node;
    reply.region = m_membership.self.region;
    reply.replyTo = m_membership.self.gossip;
    reply.generation = bundle->head.generation;
    reply.head = bundle->head;
    reply.text = bundle->text;
    std::string bytes = encodePeerMessage(reply);
    if (!take(m_bundleBudget, bundleBudget, static_cast<double>(bytes.size()), now)) {
        return;
    }
    m_figures.bundleBytes += bytes.size();
    m_transport->send(request.replyTo, std::move(bytes));
}

void PeerSync::takeBundle(const PeerMessage &reply, TimePoint now)
{
    if (reply.head.generation <= m_node.bundles.current()->head.generation) {
        return;
    }
    const auto applied = m_node.bundles.apply(reply.head, reply.text);
    logBundle(reply.head, applied);
    if (applied) {
        ++m_figures.bundlesFetched;
        return;
    }
    ++m_figures.bundlesRefused;
    refused(m_fetch, now);
}

void PeerSync::noteGeneration(TimePoint now)
{
    const Generation inForce = m_node.bundles.current()->head.generation;
    if (inForce > m_membership.generation) {
        perform(announceGeneration(m_membership, inForce, now, m_random));
    }
}

void PeerSync::perform(MembershipOutput output)
{
    for (const auto &endpoint : output.distrusted) {
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
    if (output.incarnationChanged) {
        m_node.incarnation = m_membership.self.incarnation;
    }
    m_viewChanged = m_viewChanged || output.viewChanged;
}

void PeerSync::publishView(TimePoint now)
{
    if (!m_viewChanged) {
        return;
    }
    m_viewChanged = false;
    logChanges();
    const Place here{m_node.settings.node, m_node.settings.zone, m_node.settings.region};
    m_node.fleet.publish(buildView(m_membership.table, here, *m_node.fleet.current(), now, m_membership.heldMembers > 0));
    const std::lock_guard lock(m_inboxMutex);
    m_figures.overflowed = m_overflowed;
}

void PeerSync::logChanges()
{
    std::map<NodeId, MemberStatus> statuses;
    for (const auto &[node, entry] : m_membership.table.members) {
        statuses[node] = entry.status;
        const auto before = m_statuses.find(node);
        if (before != m_statuses.end()) {
            logStatusChange(entry, before->second);
        }
    }
    m_statuses = std::move(statuses);
    if (m_membership.joined && !m_joinLogged) {
        m_joinLogged = true;
        logLine(LogLevel::Info, "joined", {{"members", static_cast<std::int64_t>(m_statuses.size())}});
    }
}

MemberRecord PeerSync::selfRecord() const
{
    const Settings &settings = m_node.settings;
    MemberRecord record;
    record.node = settings.node;
    record.incarnation = {m_node.incarnation.value.load()};
    record.zone = settings.zone;
    record.region = settings.region;
    record.peers = settings.peers;
    record.gossip = settings.gossip;
    record.stopping = m_node.leaving.load();
    const auto backends = m_node.localBackends.current();
    for (const auto &[id, backend] : backends->backends) {
        record.backends.push_back(recordForFleet(backend));
    }
    record.departures = m_node.localBackends.departures(Clock::now());
    return record;
}

} // namespace agatedoor
