#include "head_sync.hpp"

#include "agatedoor/base/random_time.hpp"
#include "agatedoor/wire/log.hpp"
#include "bundle_log.hpp"
#include "chosen.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr HeadWatchOptions headWatchOptions{};
constexpr Duration followPeersInterval = std::chrono::seconds(1); ///< While peers deliver the bundles.
constexpr Duration waitForBundleInterval = std::chrono::milliseconds(50); ///< While this node has no bundle.
constexpr std::chrono::seconds callTimeout{2};
constexpr std::chrono::seconds watchTimeout{25}; ///< Bounds how long a dead connection goes unnoticed; meanwhile peers announce new generations.
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
}

HeadSync::~HeadSync()
{
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
    Duration pause = startDelay(m_random);
    while (m_pause.pauseUnlessRestored(pause)) {
        pause = round();
    }
}

bool HeadSync::hasBundle() const
{
    return m_node.bundles.current()->head.generation.value != 0;
}

HeadAction HeadSync::dueAction()
{
    const FleetRoster roster = m_peers.roster();
    HeadWatchView view;
    view.isolated = roster.present.size() == 1;
    view.selected = isChosen(m_node.settings, roster, "watch", m_node.settings.watchersPerRegion);
    view.isContact = m_isContact();
    view.hasBundle = hasBundle();
    return nextHeadAction(m_state, view, headWatchOptions, Clock::now());
}

Duration HeadSync::round()
{
    const HeadAction action = dueAction();
    const bool watching = action == HeadAction::Watch;
    if (m_watcher.exchange(watching) != watching) {
        logLine(LogLevel::Info, "head-watch", {{"outcome", std::string(watching ? "begun" : "ended")}});
    }
    if (!watching || m_position.era != m_node.storeEra.value()) {
        m_position = {};
    }
    if (action == HeadAction::None) {
        return m_state.joined && hasBundle() ? followPeersInterval : waitForBundleInterval;
    }
    m_changed = false;
    const HeadKnowledge knowledge{m_position.revision != 0, {m_nextFullRead}, m_node.bundles.current()->head.generation, m_readGeneration};
    if (!(shouldReadHead(knowledge, Clock::now()) ? readAndApply() : watch())) {
        recordFailedRead(m_state, Clock::now());
        return nextBackOff(m_failures, m_random);
    }
    m_failures = 0;
    return pauseAfterRound();
}

/// Pause before the next watch: none, or after a change a random time, so that changes in quick succession arrive in one reply.
Duration HeadSync::pauseAfterRound()
{
    return m_changed ? minChangePause + uniformTime(m_random, changePauseSpread) : Duration::zero();
}

bool HeadSync::readAndApply()
{
    const Generation before = m_node.bundles.current()->head.generation;
    const auto reply = m_store.range(m_releases.key, callDeadline());
    if (!m_calls.record(StoreCall::ReadHead, reply)) {
        return false;
    }
    logLine(LogLevel::Info, "head-read", {{"revision", reply.value().revision}, {"era", loggable(reply.value().era)}});
    m_nextFullRead = Clock::now() + fullReadInterval;
    m_position = {reply.value().revision, reply.value().era};
    m_positionUnconfirmed = false;
    for (const auto &value : reply.value().values) {
        if (value.key == m_releases.key && !apply(value.value)) {
            m_position = {};
            return false;
        }
    }
    m_readGeneration = std::max(m_readGeneration, before);
    return m_position.era == m_node.storeEra.value(); // Otherwise the reply crossed one of a newer era.
}

/// Lets the watch that follows be ended by endWatchOfOtherEra() and by a stop.
std::stop_token HeadSync::beginWatch()
{
    const std::lock_guard lock(m_watchMutex);
    m_watchStop = {};
    m_watchedEra = m_position.era;
    if (m_stopping) {
        m_watchStop.request_stop();
    }
    return m_watchStop.get_token();
}

/// Ends a watch that began before a restore: the store may never answer it.
void HeadSync::endWatchOfOtherEra()
{
    const std::lock_guard lock(m_watchMutex);
    if (m_watchedEra != m_node.storeEra.value()) {
        m_watchStop.request_stop();
    }
}

StoreResult<WatchReply> HeadSync::askForChanges()
{
    const StorePosition from{m_position.revision + 1, m_position.era};
    if (m_positionUnconfirmed) {
        return m_store.poll(m_releases.key, from, callDeadline());
    }
    return m_store.watch(m_releases.key, from, deadlineAfter(Clock::now(), watchTimeout), beginWatch());
}

/// Keeps the position for the next watch unless the store has dropped the history since, or has been restored.
/// @return false
bool HeadSync::recordFailedWatch(StoreErrorKind error)
{
    m_positionUnconfirmed = true;
    if (isAnswered(error) || error == StoreErrorKind::Malformed) {
        m_position = {};
        m_failures = 0; // The store is back, so the full read need not wait long.
    }
    return false;
}

bool HeadSync::watch()
{
    const auto reply = askForChanges();
    if (!reply && m_watchStop.stop_requested()) {
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
    return applyNewest(reply.value().events);
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
    logBundleResult(*head, {{}, bytes.size(), {}}, applied);
    m_peers.notifyGenerationChanged();
    return applied.has_value() || std::holds_alternative<StaleGeneration>(applied.error());
}

} // namespace agatedoor
