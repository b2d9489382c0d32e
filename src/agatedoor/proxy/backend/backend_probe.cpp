#include "backend_probe.hpp"

#include "agatedoor/wire/log.hpp"

#include <boost/asio/steady_timer.hpp>

#include <set>

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds probeInterval{500};
constexpr std::chrono::milliseconds probeTimeout{500};

/// Opens a connection, closes it again and records whether that succeeded.
asio::awaitable<void> probe(const LocalBackend &backend)
{
    auto lease = ConnectionLease::take(backend.gate);
    if (!lease) {
        co_return;
    }
    const auto connection = co_await openConnection(backend.endpoint, deadlineAfter(Clock::now(), probeTimeout));
    recordConnect(*backend.gate, connection != nullptr);
}

/// Removes backend servers that stopped announcing themselves without withdrawing first.
void removeSilentBackends(NodeState &node)
{
    if (node.settings.announceLapse <= Duration::zero()) {
        return;
    }
    for (const auto &id : node.localBackends.forgetSilent(Clock::now() - node.settings.announceLapse)) {
        logLine(LogLevel::Warn, "backend-lapsed", {{"backend", id.value}, {"silent_ms", node.settings.announceLapse / std::chrono::milliseconds(1)}});
    }
}

/// Logs each transition of a backend server between up and down.
void logStateChange(const LocalBackend &backend, std::set<BackendId> &down)
{
    const BackendId &id = backend.record.backend;
    if (backend.gate->down.load()) {
        if (down.insert(id).second) {
            logLine(LogLevel::Warn, "backend-down", {{"backend", id.value}});
        }
    } else if (down.erase(id) > 0) {
        logLine(LogLevel::Info, "backend-up", {{"backend", id.value}});
    }
}

} // namespace

asio::awaitable<void> probeDownBackends(Worker &worker)
{
    std::set<BackendId> down;
    for (;;) {
        error_code error;
        asio::steady_timer timer(worker.context, probeInterval);
        co_await timer.async_wait(into(error));
        removeSilentBackends(worker.node);
        const auto backends = worker.node.localBackends.current();
        for (const auto &[id, backend] : backends->backends) {
            logStateChange(backend, down);
            if (backend.gate->down.load()) {
                co_await probe(backend);
                logStateChange(backend, down);
            }
        }
    }
}

} // namespace agatedoor
