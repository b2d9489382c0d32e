#include "agatedoor/node/node.hpp"

#include "admin_api.hpp"
#include "agatedoor/control/fleet_stats.hpp"
#include "agatedoor/control/store_sync.hpp"
#include "agatedoor/proxy/backend/backend_probe.hpp"
#include "agatedoor/proxy/caller/caller_server.hpp"
#include "agatedoor/proxy/peer/peer_server.hpp"
#include "agatedoor/wire/etcd_store.hpp"
#include "agatedoor/wire/log.hpp"
#include "backend_api.hpp"
#include "exit_watchdog.hpp"
#include "listener.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>

namespace agatedoor {

namespace {

constexpr std::chrono::seconds pruneInterval{1};
constexpr std::chrono::milliseconds stopPollInterval{10};
constexpr std::chrono::milliseconds readinessNoticeTime{2500}; ///< Callers need two failed readiness checks, one second apart.
constexpr std::chrono::milliseconds fleetNoticeTime{500}; ///< News of the stop reaches other nodes by gossip, which is sent at intervals.
constexpr std::chrono::milliseconds idleTime{100}; ///< By then requests have arrived that callers sent before they saw the connection close.
constexpr std::chrono::milliseconds exitReserve{500}; ///< Kept back from the stop limit for the end of the process.
constexpr std::chrono::milliseconds lastAnswersTime{200}; ///< Kept back for the answers of requests whose deadline ends with the stop.
constexpr std::chrono::seconds exitLimit{1}; ///< An exit that takes longer is considered hung.
constexpr std::chrono::seconds minDrainLimit{30}; ///< Applies also when all services in the bundle have a shorter one.

using Serve = asio::awaitable<void> (*)(Worker &, tcp::socket);
using Workers = std::vector<std::unique_ptr<Worker>>;

Incarnation incarnationNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count())};
}

/// Listener whose connections are assigned to the workers round robin.
Listener makeListener(tcp::acceptor acceptor, const Workers &workers, Serve serve)
{
    const auto nextTarget = [&workers, serve, turn = std::size_t{0}]() mutable {
        Worker &worker = *workers[turn++ % workers.size()];
        return servedOn(worker.context, [&worker, serve](tcp::socket socket) { return serve(worker, std::move(socket)); });
    };
    return {std::move(acceptor), nextTarget};
}

/// Regularly prunes the connection pools of @p worker.
asio::awaitable<void> pruneLoop(Worker &worker)
{
    for (;;) {
        error_code error;
        asio::steady_timer timer(worker.context, pruneInterval);
        co_await timer.async_wait(into(error));
        worker.peers.prune(Clock::now());
        worker.backends.prune(Clock::now());
    }
}

/// Longest time that a stop waits for requests in progress: the greatest drain limit of any service, but at least @ref minDrainLimit.
Duration drainLimit(const NodeState &node)
{
    const auto bundle = node.bundles.current();
    Duration limit = minDrainLimit;
    for (const auto &service : bundle->bundle.services) {
        limit = std::max(limit, service.drainLimit);
    }
    return limit;
}

asio::awaitable<void> waitFor(asio::io_context &context, Duration time)
{
    error_code error;
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(into(error));
}

asio::awaitable<void> waitUntil(asio::io_context &context, Deadline deadline)
{
    co_await waitFor(context, remaining(deadline, Clock::now()));
}

/// Waits until no request has been in progress for the idle time, since callers may still send requests on connections that are open.
asio::awaitable<void> waitUntilIdle(asio::io_context &control, const NodeState &node, Deadline latest)
{
    Deadline idleDeadline = deadlineAfter(Clock::now(), idleTime);
    while (!expired(idleDeadline, Clock::now()) && !expired(latest, Clock::now())) {
        if (node.inFlight.load() > 0) {
            idleDeadline = deadlineAfter(Clock::now(), idleTime);
        }
        co_await waitFor(control, stopPollInterval);
    }
}

/// Deadlines of the phases of a stop, which begins with the signal.
struct StopPlan
{
    Deadline serveUntil; ///< Requests from other nodes are accepted until then, so that the stop doesn't waste the backend server's capacity.
    Deadline acceptUntil; ///< Callers' connections are accepted until then, since callers learn of the stop only by their next readiness checks.
    Deadline answerBy; ///< Latest deadline of a request that is accepted during the stop.
    Deadline latest; ///< Requests that are still in progress then are aborted.
};

StopPlan planStop(const NodeState &node, TimePoint now)
{
    const Duration limit = std::min<Duration>(drainLimit(node), node.settings.stopLimit - exitReserve);
    const Duration notice = std::min<Duration>(readinessNoticeTime, limit / 2);
    const Duration answerTime = limit - std::min<Duration>(lastAnswersTime, limit / 2);
    return {deadlineAfter(now, notice - std::min<Duration>(fleetNoticeTime, notice)), deadlineAfter(now, notice), deadlineAfter(now, answerTime),
            deadlineAfter(now, limit)};
}

/// Stops gracefully at a signal: notifies callers and then the fleet, accepts no new connections, finishes requests in progress and ends.
asio::awaitable<void> stopOnSignal(asio::io_context &control, NodeState &node, PeerSync &peers, StoreSync &store, Listener &callers)
{
    error_code error;
    asio::signal_set signals(control, SIGINT, SIGTERM);
    co_await signals.async_wait(into(error));
    const StopPlan plan = planStop(node, Clock::now());
    logLine(LogLevel::Info, "stopping", {{"in_flight", node.inFlight.load()}});
    node.answerBy.store(plan.answerBy.at);
    node.stopping.store(true);
    store.beginStop();
    co_await waitUntil(control, plan.serveUntil);
    node.refusingPeers.store(true);
    peers.notifyRecordChanged();
    co_await waitUntil(control, plan.acceptUntil);
    closeListener(callers);
    node.stopDeadline.store(plan.answerBy.at);
    co_await waitUntilIdle(control, node, plan.latest);
    node.refusingCallers.store(true);
    while (node.inFlight.load() > 0 && !expired(plan.latest, Clock::now())) {
        co_await waitFor(control, stopPollInterval);
    }
    logLine(LogLevel::Info, "stopped", {{"in_flight", node.inFlight.load()}});
    control.stop();
}

/// Checks the settings file at each SIGHUP and logs the result. Changes take effect at the next start.
asio::awaitable<void> checkSettingsOnSignal(asio::io_context &control, std::string settingsFile)
{
    error_code error;
    asio::signal_set signals(control, SIGHUP);
    for (;;) {
        co_await signals.async_wait(into(error));
        if (error) {
            co_return;
        }
        const auto settings = readSettings(settingsFile);
        if (settings) {
            logLine(LogLevel::Info, "reload", {{"file", settingsFile}, {"outcome", std::string("checked, in force at the next start")}});
        } else {
            logLine(LogLevel::Error, "reload", {{"file", settingsFile}, {"outcome", std::string("refused")}, {"error", toText(settings.error())}});
        }
    }
}

Workers makeWorkers(NodeState &node)
{
    Workers workers;
    for (int i = 0; i < node.settings.threads; ++i) {
        workers.push_back(std::make_unique<Worker>(node, i));
    }
    return workers;
}

/// Runs each worker on its own thread. The destructor stops the workers and joins the threads.
class WorkerThreads
{
public:
    explicit WorkerThreads(const Workers &workers)
        : m_workers(workers)
    {
        for (const auto &worker : workers) {
            asio::co_spawn(worker->context, pruneLoop(*worker), asio::detached);
            if (worker->index == 0) {
                asio::co_spawn(worker->context, probeDownBackends(*worker), asio::detached);
            }
            m_threads.emplace_back([&context = worker->context] { context.run(); });
        }
    }
    ~WorkerThreads()
    {
        for (const auto &worker : m_workers) {
            worker->context.stop();
        }
        for (auto &thread : m_threads) {
            thread.join();
        }
    }
    WorkerThreads(const WorkerThreads &) = delete;
    WorkerThreads &operator=(const WorkerThreads &) = delete;

private:
    const Workers &m_workers;
    std::vector<std::thread> m_threads;
};

/// Ends the record of departures before the interface goes whose replies wait for it.
class DepartureCloser
{
public:
    explicit DepartureCloser(DepartureSync &departures)
        : m_departures(departures)
    {
    }
    ~DepartureCloser() { m_departures.close(); }
    DepartureCloser(const DepartureCloser &) = delete;
    DepartureCloser &operator=(const DepartureCloser &) = delete;

private:
    DepartureSync &m_departures;
};

} // namespace

NodeInterfaces defaultNodeInterfaces(const Settings &settings)
{
    return {makeEtcdStore(settings.stores), signedReleases(), EdgeHeaders{}};
}

Result<Done, ListenError> runNode(const Settings &settings, const std::string &settingsFile, NodeInterfaces edges)
{
    NodeState node(settings, std::move(edges.headers), edges.releases.parse);
    node.incarnation = incarnationNow();
    const Workers workers = makeWorkers(node);
    const ExitStepMarker dropRequestsMarker{"drop-requests"};
    asio::io_context control{1};
    auto callersAcceptor = listen(control, settings.callers);
    if (!callersAcceptor) {
        return ListenError{settings.callers};
    }
    auto peersAcceptor = listen(control, settings.peersListen);
    if (!peersAcceptor) {
        return ListenError{settings.peersListen};
    }
    Listener callers = makeListener(std::move(*callersAcceptor), workers, serveCaller);
    Listener peers = makeListener(std::move(*peersAcceptor), workers, servePeer);
    BOOST_OUTCOME_TRY(const auto peerSync, PeerSync::start(node));
    const ExitStepMarker closePeersMarker{"close-peers"};
    StoreSync storeSync(node, *peerSync, std::move(edges.store), std::move(edges.releases));
    const ExitStepMarker endStoreThreadsMarker{"end-store-threads"};
    BOOST_OUTCOME_TRY(const auto backendApi, HttpService::start(settings.backends, makeBackendApi(node, storeSync.departures())));
    const DepartureCloser departureCloser(storeSync.departures());
    BOOST_OUTCOME_TRY(const auto adminApi, HttpService::start(settings.admin, makeAdminApi(node, workers, fleetStatsReader(*peerSync, storeSync))));
    node.localBackends.onChange([&peerSync] { peerSync->notifyRecordChanged(); });
    peerSync->notifyRecordChanged();
    const WorkerThreads threads(workers);
    const ExitStepMarker joinWorkersMarker{"join-workers"};
    asio::co_spawn(control, acceptLoop(callers), asio::detached);
    asio::co_spawn(control, acceptLoop(peers), asio::detached);
    asio::co_spawn(control, checkSettingsOnSignal(control, settingsFile), asio::detached);
    asio::co_spawn(control, stopOnSignal(control, node, *peerSync, storeSync, callers), asio::detached);
    logLine(LogLevel::Info, "started",
            {{"node", settings.node.value},
             {"service", settings.service ? settings.service->value : std::string()},
             {"incarnation", static_cast<std::int64_t>(node.incarnation.value.load())}});
    control.run();
    startExitWatchdog(deadlineAfter(Clock::now(), exitLimit));
    setExitStep("leave-fleet");
    node.localBackends.onChange({});
    peerSync->leave();
    return Done{};
}

} // namespace agatedoor
