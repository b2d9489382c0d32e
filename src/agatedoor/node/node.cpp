#include "agatedoor/node/node.hpp"

#include "admin_api.hpp"
#include "agatedoor/control/fleet_report.hpp"
#include "agatedoor/control/store_sync.hpp"
#include "agatedoor/proxy/backend_probe.hpp"
#include "agatedoor/proxy/caller_server.hpp"
#include "agatedoor/proxy/hop_server.hpp"
#include "agatedoor/wire/etcd_store.hpp"
#include "agatedoor/wire/log.hpp"
#include "backend_api.hpp"
#include "exit_guard.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds acceptPause{20};
constexpr std::chrono::seconds pruneInterval{1};
constexpr std::chrono::milliseconds stopPollInterval{10};
constexpr std::chrono::milliseconds readinessNotice{2500}; ///< Two checks a second apart must fail.
constexpr std::chrono::milliseconds fleetNotice{500}; ///< News of a stop spreads in gossip intervals.
constexpr std::chrono::milliseconds quietTime{100}; ///< A request that was sent before its caller saw the close has arrived by then.
constexpr std::chrono::milliseconds exitTime{500}; ///< Left for the end of the process.
constexpr std::chrono::seconds exitLimit{1}; ///< An end that takes longer hangs.
constexpr std::chrono::seconds defaultDrainLimit{30};

using Serve = asio::awaitable<void> (*)(Worker &, tcp::socket);
using Workers = std::vector<std::unique_ptr<Worker>>;

Incarnation incarnationNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count())};
}

std::optional<tcp::acceptor> listen(asio::io_context &context, const Endpoint &endpoint)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    try {
        return tcp::acceptor(context, tcp::endpoint(address, endpoint.port), true);
    } catch (const boost::system::system_error &) {
        return std::nullopt;
    }
}

/// Accepts connections and deals them out to the workers in turn.
asio::awaitable<void> acceptLoop(tcp::acceptor &acceptor, const Workers &workers, Serve serve)
{
    std::size_t turn = 0;
    while (acceptor.is_open()) {
        error_code error;
        Worker &worker = *workers[turn++ % workers.size()];
        tcp::socket socket(worker.context);
        co_await acceptor.async_accept(socket, into(error));
        if (!error) {
            asio::co_spawn(worker.context, serve(worker, std::move(socket)), asio::detached);
            continue;
        }
        asio::steady_timer pause(co_await asio::this_coro::executor, acceptPause);
        co_await pause.async_wait(into(error));
    }
}

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

/// Longest time that a stop waits for requests in progress.
Duration drainLimit(const NodeState &node)
{
    const auto bundle = node.bundles.current();
    Duration limit = defaultDrainLimit;
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

/// Waits until no request was in progress for a while, as callers may still use connections that are open.
asio::awaitable<void> waitUntilQuiet(asio::io_context &control, const NodeState &node, Deadline latest)
{
    Deadline quiet = deadlineAfter(Clock::now(), quietTime);
    while (!expired(quiet, Clock::now()) && !expired(latest, Clock::now())) {
        if (node.inFlight.load() > 0) {
            quiet = deadlineAfter(Clock::now(), quietTime);
        }
        co_await waitFor(control, stopPollInterval);
    }
}

/// Times of a stop, counted from its signal.
struct StopPlan
{
    Deadline serveUntil; ///< Other nodes may use the backend server until then; its work isn't lost to the stop.
    Deadline acceptUntil; ///< Callers learn only by the next checks of readiness that this node stops.
    Deadline latest; ///< Requests that are still in progress then are cut.
};

StopPlan planStop(const NodeState &node, TimePoint now)
{
    const Duration limit = std::min<Duration>(drainLimit(node), node.settings.stopLimit - exitTime);
    const Duration notice = std::min<Duration>(readinessNotice, limit / 2);
    return {deadlineAfter(now, notice - std::min<Duration>(fleetNotice, notice)), deadlineAfter(now, notice), deadlineAfter(now, limit)};
}

/// Stop in order: tell callers and the fleet, take no new connections, finish what is in progress, end.
asio::awaitable<void> stopOnSignal(asio::io_context &control, NodeState &node, PeerSync &peers, StoreSync &store, tcp::acceptor &callers)
{
    error_code error;
    asio::signal_set signals(control, SIGINT, SIGTERM);
    co_await signals.async_wait(into(error));
    const StopPlan plan = planStop(node, Clock::now());
    logLine(LogLevel::Info, "stopping", {{"in_flight", node.inFlight.load()}});
    node.stopping.store(true);
    store.beginStop();
    co_await waitUntil(control, plan.serveUntil);
    node.leaving.store(true);
    peers.notifyRecordChanged();
    co_await waitUntil(control, plan.acceptUntil);
    callers.close(error);
    node.finishBy.store(plan.latest.at);
    co_await waitUntilQuiet(control, node, plan.latest);
    node.closing.store(true);
    while (node.inFlight.load() > 0 && !expired(plan.latest, Clock::now())) {
        co_await waitFor(control, stopPollInterval);
    }
    logLine(LogLevel::Info, "stopped", {{"in_flight", node.inFlight.load()}});
    control.stop();
}

/// Checks the settings file again at each SIGHUP. What it says takes effect at the next start.
asio::awaitable<void> checkOnSignal(asio::io_context &control, std::string settingsFile)
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

/// Threads that run the workers; they stop and join when this is destroyed.
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

} // namespace

NodeEdges ownEdges(const Settings &settings)
{
    return {makeEtcdStore(settings.stores), signedReleases(), EdgeHeaders{}};
}

Result<Done, ListenError> runNode(const Settings &settings, const std::string &settingsFile, NodeEdges edges)
{
    NodeState node(settings, std::move(edges.headers), edges.releases.parse);
    node.incarnation = incarnationNow();
    const Workers workers = makeWorkers(node);
    const ExitStep dropRequests{"drop-requests"};
    asio::io_context control{1};
    auto callers = listen(control, settings.callers);
    if (!callers) {
        return ListenError{settings.callers};
    }
    auto peers = listen(control, settings.peersListen);
    if (!peers) {
        return ListenError{settings.peersListen};
    }
    BOOST_OUTCOME_TRY(const auto backendApi, HttpService::start(settings.backends, makeBackendApi(node)));
    BOOST_OUTCOME_TRY(const auto peerSync, PeerSync::start(node));
    const ExitStep closePeers{"close-peers"};
    StoreSync storeSync(node, *peerSync, std::move(edges.store), std::move(edges.releases));
    const ExitStep endStoreThreads{"end-store-threads"};
    BOOST_OUTCOME_TRY(const auto adminApi, HttpService::start(settings.admin, makeAdminApi(node, workers, fleetStatsReader(*peerSync, storeSync))));
    node.localBackends.onChange([&peerSync] { peerSync->notifyRecordChanged(); });
    peerSync->notifyRecordChanged();
    const WorkerThreads threads(workers);
    const ExitStep joinWorkers{"join-workers"};
    asio::co_spawn(control, acceptLoop(*callers, workers, serveCaller), asio::detached);
    asio::co_spawn(control, acceptLoop(*peers, workers, servePeer), asio::detached);
    asio::co_spawn(control, checkOnSignal(control, settingsFile), asio::detached);
    asio::co_spawn(control, stopOnSignal(control, node, *peerSync, storeSync, *callers), asio::detached);
    logLine(LogLevel::Info, "started",
            {{"node", settings.node.value},
             {"service", settings.service ? settings.service->value : std::string()},
             {"incarnation", static_cast<std::int64_t>(node.incarnation.value.load())}});
    control.run();
    guardExit(deadlineAfter(Clock::now(), exitLimit));
    enterExitStep("leave-fleet");
    node.localBackends.onChange({});
    peerSync->leave();
    return Done{};
}

} // namespace agatedoor
