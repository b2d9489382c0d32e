#include "gate_report.hpp"

#include "agatedoor/state/gate_cold.hpp"

#include <sstream>

namespace agatedoor {

namespace {

namespace json = boost::json;

/// Calls @p visit with each reason for which requests were refused, and their count.
template <typename Visit>
void forEachRefusal(const Gate &gate, Visit visit)
{
    for (std::size_t i = 0; i < refusalCounters; ++i) {
        const auto count = gate.refusals.at(i).load();
        if (count > 0) {
            visit(wireName(static_cast<Reason>(i)), count);
        }
    }
}

json::object dumpRefusals(const Gate &gate)
{
    json::object refusals;
    forEachRefusal(gate, [&refusals](std::string_view reason, std::uint64_t count) { refusals[reason] = count; });
    return refusals;
}

double inSeconds(std::int64_t nanoseconds)
{
    return std::chrono::duration<double>(std::chrono::nanoseconds(nanoseconds)).count();
}

void writeBackendMetrics(std::ostringstream &stream, const BackendId &id, const Gate &gate)
{
    const std::string label = "backend=\"" + id.value + "\"";
    const auto write = [&](std::string_view name, auto value) { stream << "agatedoor_gate_" << name << "{" << label << "} " << value << "\n"; };
    write("limit", gate.limit.load());
    write("running", gate.running.load());
    write("queued", gate.queued.load());
    write("admitted_total", gate.admitted.load());
    write("waits_total", gate.waits.load());
    write("displaced_total", gate.displaced.load());
    write("nested_grants_total", gate.nestedGrants.load());
    write("raised_total", gate.raised.load());
    write("wait_seconds_total", inSeconds(gate.waitNs.load()));
    write("longest_wait_seconds", inSeconds(gate.longestWaitNs.load()));
    write("open_connections", gate.openConnections.load());
    write("cold_left_seconds", std::chrono::duration<double>(coldLeft(gate, Clock::now())).count());
    write("down", gate.down.load() ? 1 : 0);
    forEachRefusal(gate, [&](std::string_view reason, std::uint64_t count) {
        stream << "agatedoor_gate_refused_total{" << label << ",reason=\"" << reason << "\"} " << count << "\n";
    });
}

} // namespace

json::object dumpBackend(const LocalBackend &backend)
{
    const Gate &gate = *backend.gate;
    const BackendLoad load = loadOf(gate);
    return {
        {"service", backend.record.service.value},
        {"status", wireName(backend.record.status)},
        {"down", gate.down.load()},
        {"endpoint", toText(backend.endpoint)},
        {"slots", gate.announced.load()},
        {"limit", load.limit.value},
        {"running", load.running},
        {"queued", load.queued},
        {"admitted", gate.admitted.load()},
        {"refused", gate.refused.load()},
        {"refusals", dumpRefusals(gate)},
        {"waits", gate.waits.load()},
        {"displaced", gate.displaced.load()},
        {"nested_grants", gate.nestedGrants.load()},
        {"raised", gate.raised.load()},
        {"wait_us", gate.waitNs.load() / 1000},
        {"longest_wait_us", gate.longestWaitNs.load() / 1000},
        {"service_time_us", gate.serviceTimeNs.load() / 1000},
        {"cold_left_ms", coldLeft(gate, Clock::now()) / std::chrono::milliseconds(1)},
        {"connections", gate.announcedConnections.load()},
        {"open_connections", gate.openConnections.load()},
        {"idle_connections", gate.idleConnections.load()},
    };
}

std::string gateMetrics(const LocalBackends &backends)
{
    std::ostringstream stream;
    for (const auto &[id, backend] : backends.backends) {
        writeBackendMetrics(stream, id, *backend.gate);
    }
    return stream.str();
}

} // namespace agatedoor
