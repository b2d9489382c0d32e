#include "head_sync.hpp"

#include "agatedoor/base/random_time.hpp"
#include "agatedoor/release/evacuations.hpp"
#include "agatedoor/wire/log.hpp"
#include "bundle_log.hpp"
#include "evacuation_log.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr HeadWatchOptions headWatchOptions{};
constexpr Duration minFollowInterval = std::chrono::milliseconds(20); ///< Between looks at what peers have delivered.
constexpr Duration maxFollowInterval = std::chrono::seconds(1);
constexpr Duration waitForBundleInterval = std::chrono::milliseconds(50); ///< While this node has no bundle.
constexpr std::chrono::seconds callTimeout{2};
constexpr std::chrono::seconds watchTime{24}; ///< Bounds how long a dead connection goes unnoticed; meanwhile peers announce new generations.
constexpr std::chrono::milliseconds minWatchTime{50}; ///< Instead of a shorter watch, the store is asked without waiting.
constexpr std::chrono::seconds rewriteTime{5}; ///< Time that the operator has to write again what a restored store lacks.
constexpr std::chrono::seconds fullReadInterval{60}; ///< Between full reads of the head, beside the watch.
constexpr Duration minChangePause = std::chrono::milliseconds(200);
/// Randomizes the pause; nodes whose pause ends first announce the change to the others.
constexpr Duration changePauseSpread = std::chrono::milliseconds(400);

Deadline callDeadline()
{
    return deadlineAfter(Clock::now(), callTimeout);
}

HeadWatchState stateStartedNow()
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

/// A reply that comes sooner than the store can have waited is taken for one to a call without waiting.
Duration waitedFor(const WatchReply &reply, Duration took)
{
    return reply.unchangedFor <= took ? reply.unchangedFor : Duration::zero();
}

} // namespace

HeadSync::HeadSync(NodeState &node, PeerSync &peers, const Store &store, StoreCalls &calls, ReleaseSource releases, std::function<bool()> isContact)
    : m_node(node)
    , m_peers(peers)
    , m_store(store)
    , m_calls(calls)
    , m_releases(std::move(releases))
    , m_isContact(std::move(isContact))
    , m_state(stateStartedNow())
    , m_pause(node.storeEra)
    , m_thread([this] { run(); })
{
    m_peers.onTick([this] { endOutdatedWatch(); });
}

HeadSync::~HeadSync()
{
    m_peers.onTick({});
    beginStop();
    m_thread.join();
}

void HeadSync::beginStop()
{
    {
        const std::lock_guard lock(m_watchMutex);
        m_stopping = true;
        m_watchStop.request_stop();
    }
    m_pause.stop();
}

void HeadSync::run()
{
    drawLimitDelay(m_state, headWatchOptions, m_random);
    Duration pause = startDelay(m_random);
    while (m_pause.pauseUnlessRestored(pause)) {
        pause = round();
    }
}

bool HeadSync::hasBundle() const
{
    return m_node.bundles.current()->head.generation.value != 0;
}

HeadWatchView HeadSync::view()
{
    const HeadPlace place = m_peers.headPlace();
    HeadWatchView view;
    view.isolated = place.isolated;
    view.rank = place.rank;
    view.selected = place.rank < m_node.settings.watchersPerRegion;
    view.isFirst = place.isFirst;
    view.isContact = m_isContact();
    view.hasBundle = hasBundle();
    view.confirmationAge = confirmationAge();
    return view;
}

/// Without a confirmation, time since this node has a bundle.
Duration HeadSync::confirmationAge()
{
    const BootTime now = BootClock::now();
    if (!hasBundle()) {
        return Duration::zero();
    }
    m_hasBundleSince = m_hasBundleSince.value_or(now);
    return ageOf(m_node.headConfirmation.current(), now).value_or(now - *m_hasBundleSince);
}

Duration HeadSync::round()
{
    const HeadWatchView view = this->view();
    const HeadAction action = nextHeadAction(m_state, view, headWatchOptions, Clock::now());
    const bool watching = action == HeadAction::Watch;
    if (m_watcher.exchange(watching) != watching) {
        logLine(LogLevel::Info, "head-watch", {{"outcome", std::string(watching ? "begun" : "ended")}});
    }
    if (action == HeadAction::None) {
        return pauseWithoutCall(view);
    }
    m_changed = false;
    m_limit = renewsConfirmation(view) ? Duration::max() : confirmationLimit(m_state, view, headWatchOptions);
    takeKnownPosition();
    if (action == HeadAction::Confirm) {
        logLate(view);
        drawLimitDelay(m_state, headWatchOptions, m_random);
    }
    const HeadKnowledge knowledge{m_position.revision != 0, {m_nextFullRead}, m_node.bundles.current()->head.generation, m_readGeneration};
    if (!(shouldReadHead(knowledge, Clock::now()) ? readAndApply() : watch(waitTime(view, action)))) {
        recordFailedRead(m_state, Clock::now());
        return pauseAfterFailure(view);
    }
    m_failures = 0;
    return pauseAfterRound();
}

/// Until the confirmation of the head will be too old, unless a peer brings a newer one meanwhile.
Duration HeadSync::pauseWithoutCall(const HeadWatchView &view) const
{
    if (!m_state.joined || !view.hasBundle) {
        return waitForBundleInterval;
    }
    const Duration left = confirmationLimit(m_state, view, headWatchOptions) - view.confirmationAge;
    return std::clamp<Duration>(left, minFollowInterval, maxFollowInterval);
}

Duration HeadSync::pauseAfterFailure(const HeadWatchView &view)
{
    const auto pause = pauseOfUnselected(view, m_failures, headWatchOptions, m_random);
    const Duration backOff = nextBackOff(m_failures, m_random);
    return pause.value_or(backOff);
}

/// A position that peers know is as good as an own one: what has changed before it is in force here.
void HeadSync::takeKnownPosition()
{
    const StoreEra era = m_node.storeEra.value();
    noteEra();
    if (m_position.era != era) {
        m_position = {};
    }
    const auto known = m_node.headConfirmation.current();
    const Revision least = m_droppedBefore.era == era ? std::max(m_position.revision, m_droppedBefore.revision) : m_position.revision;
    if (known && known->position.era == era && known->position.revision > least) {
        m_position = known->position;
        m_evacuated = known->evacuated;
        m_positionUnconfirmed = true;
        const TimePoint now = Clock::now();
        m_nextFullRead = expired(m_keepEvacuatedUntil, now) ? now + fullReadInterval : m_keepEvacuatedUntil.at;
        m_readGeneration = std::max(m_readGeneration, known->generation);
    }
}

void HeadSync::logLate(const HeadWatchView &view) const
{
    const auto known = m_node.headConfirmation.current();
    logLine(LogLevel::Info, "head-late",
            {{"age_ms", view.confirmationAge / std::chrono::milliseconds(1)},
             {"from", known ? known->from.value : std::string()},
             {"rank", static_cast<std::int64_t>(view.rank)},
             {"generation", static_cast<std::int64_t>(m_node.bundles.current()->head.generation.value)}});
}

/// Pause before the next call: none, or after a change a random time, so that changes in quick succession arrive in one reply; but not longer than
/// until the confirmation is to be renewed.
Duration HeadSync::pauseAfterRound()
{
    if (!m_changed) {
        return Duration::zero();
    }
    const Duration pause = minChangePause + uniformTime(m_random, changePauseSpread);
    return std::clamp<Duration>(headWatchOptions.renewAfter - confirmationAge(), Duration::zero(), pause);
}

bool HeadSync::readAndApply()
{
    const Generation before = m_node.bundles.current()->head.generation;
    const BootTime askedAt = BootClock::now();
    const auto reply = m_store.range(m_releases.prefix, callDeadline());
    if (!m_calls.record(StoreCall::ReadHead, reply)) {
        return false;
    }
    logLine(LogLevel::Info, "head-read", {{"revision", reply.value().revision}, {"era", loggable(reply.value().era)}});
    m_nextFullRead = Clock::now() + fullReadInterval;
    m_position = {reply.value().revision, reply.value().era};
    m_positionUnconfirmed = false;
    takeEvacuations(reply.value());
    for (const auto &value : reply.value().values) {
        if (value.key == m_releases.key && !apply(value.value)) {
            m_position = {};
            return false;
        }
    }
    m_readGeneration = std::max(m_readGeneration, before);
    confirmHead(askedAt);
    return m_position.era == m_node.storeEra.value(); // Otherwise the reply crossed one of a newer era.
}

/// Keeps evacuated zones for a while after a restore, whoever tells of it first: the store's replies or a peer.
void HeadSync::noteEra()
{
    const StoreEra era = m_node.storeEra.value();
    if (m_seenEra == era) {
        return;
    }
    if (m_seenEra.value != 0) {
        m_keepEvacuatedUntil = deadlineAfter(Clock::now(), rewriteTime);
    }
    m_seenEra = era;
}

void HeadSync::takeEvacuations(const RangeReply &reply)
{
    noteEra();
    const TimePoint now = Clock::now();
    const bool justRestored = !expired(m_keepEvacuatedUntil, now);
    m_evacuated = zonesAfterRead(zonesIn(reply.values, m_releases.evacuations), *m_node.headConfirmation.evacuated(), justRestored);
    if (justRestored && !m_evacuated.empty()) {
        m_nextFullRead = m_keepEvacuatedUntil.at;
    }
}

/// Lets the watch that follows be ended by endOutdatedWatch() and by a stop.
std::stop_token HeadSync::beginWatch()
{
    const std::lock_guard lock(m_watchMutex);
    m_watchStop = {};
    m_watchedEra = m_position.era;
    m_watchLimit = m_limit;
    if (m_stopping) {
        m_watchStop.request_stop();
    }
    return m_watchStop.get_token();
}

void HeadSync::endOutdatedWatch()
{
    const auto confirmedAt = m_node.headConfirmation.confirmedAt();
    const std::lock_guard lock(m_watchMutex);
    const bool late = confirmedAt && BootClock::now() - *confirmedAt >= m_watchLimit;
    if (late || m_watchedEra != m_node.storeEra.value()) {
        m_watchStop.request_stop();
    }
}

/// How long the store is to wait for a change: in the first of the fleet until the next confirmation is due.
Duration HeadSync::waitTime(const HeadWatchView &view, HeadAction action)
{
    if (action == HeadAction::Confirm || m_positionUnconfirmed) {
        return Duration::zero();
    }
    return renewsConfirmation(view) ? headWatchOptions.renewAfter - confirmationAge() : watchTime;
}

/// @param stop ends a call that waits
StoreResult<WatchReply> HeadSync::askForChanges(Duration wait, const std::stop_token &stop)
{
    const StorePosition from{m_position.revision + 1, m_position.era};
    if (wait < minWatchTime) {
        return m_store.poll(m_releases.prefix, from, callDeadline());
    }
    return m_store.watch(m_releases.prefix, from, deadlineAfter(Clock::now(), wait + watchReplyTime), stop);
}

/// Notes that the store has confirmed the bundle in force, and tells the peers that wait for it.
void HeadSync::confirmHead(BootTime at)
{
    const Generation inForce = m_node.bundles.current()->head.generation;
    if (m_node.headConfirmation.record({inForce, at, m_position, m_node.settings.node, m_evacuated}, inForce)) {
        logEvacuations(m_evacuated, m_node.settings.node, BootClock::now() - at);
    }
    m_peers.notifyNews();
}

/// Keeps the position for the next watch unless the store has dropped the history since, or has been restored.
/// @return false
bool HeadSync::recordFailedWatch(StoreErrorKind error)
{
    m_positionUnconfirmed = true;
    if (isAnswered(error) || error == StoreErrorKind::Malformed) {
        m_droppedBefore = m_position;
        m_position = {};
        m_failures = 0; // The store is back, so the full read need not wait long.
    }
    return false;
}

bool HeadSync::watch(Duration wait)
{
    const BootTime askedAt = BootClock::now();
    const std::stop_token stop = wait < minWatchTime ? std::stop_token{} : beginWatch();
    const auto reply = askForChanges(wait, stop);
    if (!reply && stop.stop_requested()) {
        m_calls.count(StoreCall::WatchHead);
        return true;
    }
    if (!m_calls.record(StoreCall::WatchHead, reply)) {
        return recordFailedWatch(reply.error().kind);
    }
    m_positionUnconfirmed = false;
    logWatchReply(m_position.revision + 1, reply.value());
    m_position.revision = std::max(m_position.revision, reply.value().revision);
    m_changed = !reply.value().events.empty();
    applyChanges(m_evacuated, reply.value().events, m_releases.evacuations);
    const bool applied = applyNewest(reply.value().events);
    if (applied && reply.value().revision != 0) {
        confirmHead(askedAt + waitedFor(reply.value(), BootClock::now() - askedAt));
    }
    return applied;
}

/// Applies the last change of the head, which supersedes earlier ones. While it can't be read, the last readable one is applied and the head
/// is read in full in the next round.
bool HeadSync::applyNewest(const std::vector<StoreEvent> &events)
{
    for (auto event = events.rbegin(); event != events.rend(); ++event) {
        if (event->removed || event->value.key != m_releases.key) {
            continue;
        }
        if (apply(event->value.value)) {
            return true;
        }
        m_position = {};
    }
    return m_position.revision != 0;
}

bool HeadSync::apply(const std::string &bytes)
{
    const auto head = m_releases.head(bytes);
    if (!head) {
        logLine(LogLevel::Error, "damaged-record", {{"key", m_releases.key}});
        return false;
    }
    m_readGeneration = std::max(m_readGeneration, head->generation);
    if (head->generation <= m_node.bundles.current()->head.generation) {
        return true;
    }
    m_calls.count(StoreCall::ReadBundle);
    const auto text = m_releases.text(m_store, *head, bytes, callDeadline());
    if (!text) {
        logLine(LogLevel::Error, "bundle-refused",
                {{"generation", static_cast<std::int64_t>(head->generation.value)}, {"digest", head->digest.value}, {"error", std::string("unreadable")}});
        return false;
    }
    const auto applied = m_node.bundles.apply(*head, text.value());
    logBundleResult(*head, {{}, bytes.size(), {}}, applied, *m_node.bundles.current());
    m_peers.notifyNews();
    return applied.has_value() || std::holds_alternative<StaleGeneration>(applied.error());
}

} // namespace agatedoor
