#include "admin_api.hpp"

#include "gate_report.hpp"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <future>

namespace agatedoor {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds workerReplyTimeout{500};

/// Runs @p read on the thread of @p worker, which owns the data read. Returns a default value if the worker doesn't run it before the timeout.
template <typename T>
T readOnWorker(Worker &worker, std::function<T()> read)
{
    const auto promise = std::make_shared<std::promise<T>>();
    auto future = promise->get_future();
    asio::post(worker.context, [promise, read = std::move(read)] { promise->set_value(read()); });
    if (future.wait_for(workerReplyTimeout) != std::future_status::ready) {
        return T{};
    }
    return future.get();
}

json::object dumpLocalBackends(const NodeState &node)
{
    json::object local;
    const auto backends = node.localBackends.current();
    for (const auto &[id, backend] : backends->backends) {
        local[id.value] = dumpBackend(backend);
    }
    return local;
}

std::string_view localityName(Locality locality)
{
    switch (locality) {
    case Locality::SameZone:
        return "same-zone";
    case Locality::SameRegion:
        return "same-region";
    case Locality::OtherRegion:
        return "other-region";
    }
    return "unnamed";
}

json::object dumpBackendEntry(const BackendEntry &entry)
{
    const BackendStats &stats = *entry.stats;
    return {
        {"backend", entry.backend.value},
        {"node", entry.node.value},
        {"incarnation", entry.incarnation.value},
        {"locality", localityName(entry.locality)},
        {"slots", entry.slots.value},
        {"draining", entry.draining},
        {"own_in_flight", stats.ownInFlight.load()},
        {"reported_in_flight", stats.reportedInFlight.load()},
        {"service_time_us", stats.serviceTimeNs.load() / 1000},
        {"answers", stats.answers.load()},
        {"failures", stats.failures.load()},
        {"refusals", stats.refusals.load()},
        {"observed_time_us", stats.observedTimeNs.load() / 1000},
        {"ejections", stats.ejections.load()},
    };
}

json::object dumpServices(const NodeState &node)
{
    json::object services;
    const auto fleet = node.fleet.current();
    for (const auto &[service, entries] : fleet->services) {
        json::array backends;
        for (const auto &entry : entries) {
            backends.push_back(dumpBackendEntry(entry));
        }
        services[service.value] = std::move(backends);
    }
    return services;
}

/// Departures known to the fleet, by backend server. `last_born_ms` is the latest start time of the processes that have left.
json::object dumpDepartures(const NodeState &node)
{
    json::object departures;
    const auto fleet = node.fleet.current();
    for (const auto &[backend, departure] : fleet->departures) {
        departures[backend.value] = {{"step", wireName(departure.step)}, {"last_born_ms", departure.lastBorn.value}};
    }
    return departures;
}

json::object dumpPathDelays(const NodeState &node)
{
    json::object delays;
    for (const auto locality : {Locality::SameZone, Locality::SameRegion, Locality::OtherRegion}) {
        delays[localityName(locality)] = inMicroseconds(pathDelay(node.pathDelays, locality)).count();
    }
    return delays;
}

/// Time since the store confirmed that no bundle is newer than the one in force; -1 without its word.
std::int64_t headAgeMs(const NodeState &node)
{
    const auto confirmedAt = node.headConfirmation.confirmedAt();
    return confirmedAt ? (BootClock::now() - *confirmedAt) / std::chrono::milliseconds(1) : -1;
}

json::array dumpEvacuatedZones(const NodeState &node)
{
    json::array zones;
    for (const auto &zone : *node.headConfirmation.evacuated()) {
        zones.emplace_back(zone.value);
    }
    return zones;
}

/// Number of customers; null when the bundle doesn't list them, and callers need no key.
json::value dumpCustomers(const Bundle &bundle)
{
    return needsKeys(bundle) ? json::value(customersOf(bundle).size()) : json::value();
}

json::object dumpBundle(const NodeState &node)
{
    const auto bundle = node.bundles.current();
    return {
        {"generation", bundle->head.generation.value}, {"digest", bundle->head.digest.value},
        {"operation", bundle->head.operation.value},   {"operator", bundle->head.operatorName},
        {"services", bundle->bundle.services.size()},  {"routes", bundle->bundle.routes.size()},
        {"customers", dumpCustomers(bundle->bundle)},  {"head_age_ms", headAgeMs(node)},
    };
}

/// High quantile of the response times, by the key of their route.
json::object dumpTailLatencies(const Worker &worker)
{
    json::object tails;
    for (const auto &[route, entry] : worker.responseTimes.entries) {
        tails[std::to_string(route.value)] = inMicroseconds(entry.record.value).count();
    }
    return tails;
}

json::object dumpRetryTokens(const Worker &worker)
{
    json::object tokens;
    for (const auto &[service, budget] : worker.retryBudgets) {
        tokens[service.value] = budget.tokens;
    }
    return tokens;
}

json::array dumpWorkers(const std::vector<std::unique_ptr<Worker>> &workers)
{
    json::array list;
    for (const auto &worker : workers) {
        Worker &target = *worker;
        list.push_back(readOnWorker<json::object>(target, [&target] {
            return json::object{
                {"worker", target.index},
                {"idle_peer_connections", target.peers.idleCount()},
                {"idle_backend_connections", target.backends.idleCount()},
                {"attempts", target.metrics.attempts},
                {"retries", target.metrics.retries},
                {"measuring_bytes", target.metrics.measuringBytes},
                {"load_reports_withheld", target.metrics.reportsWithheld},
                {"cross_region_bytes", target.metrics.crossRegionBytes},
                {"hedges", target.metrics.hedges},
                {"hedges_won", target.metrics.hedgesWon},
                {"extra_attempts", target.metrics.extraAttempts},
                {"extra_attempts_won", target.metrics.extraAttemptsWon},
                {"extra_attempts_refused", target.metrics.extraAttemptsRefused},
                {"extra_attempts_withheld", target.metrics.extraAttemptsWithheld},
                {"retries_over_budget", target.metrics.retriesOverBudget},
                {"retry_tokens", dumpRetryTokens(target)},
                {"silent_connections", target.metrics.silentConnections},
                {"pipelined_requests", target.metrics.pipelinedRequests},
                {"tails_us", dumpTailLatencies(target)},
            };
        }));
    }
    return list;
}

HttpReply dump(const NodeState &node, const std::vector<std::unique_ptr<Worker>> &workers, const FleetStatsReader &readFleetStats)
{
    const json::object state{
        {"node", node.settings.node.value},
        {"zone", node.settings.zone.value},
        {"region", node.settings.region.value},
        {"incarnation", node.incarnation.value.load()},
        {"stopping", node.stopping.load()},
        {"in_flight", node.inFlight.load()},
        {"body_bytes", node.bodyBytes.load()},
        {"bundle", dumpBundle(node)},
        {"local_backends", dumpLocalBackends(node)},
        {"services", dumpServices(node)},
        {"workers", dumpWorkers(workers)},
        {"path_delay_us", dumpPathDelays(node)},
        {"evacuated_zones", dumpEvacuatedZones(node)},
        {"departures", dumpDepartures(node)},
        {"fleet", dumpFleetStats(readFleetStats(), node.bundles.current()->head.generation.value > 0)},
    };
    return jsonReply(200, json::serialize(state));
}

HttpReply ready(const NodeState &node)
{
    const auto generation = node.bundles.current()->head.generation.value;
    const bool isReady = generation > 0 && !node.stopping.load();
    return jsonReply(isReady ? 200 : 503, json::serialize(json::object{{"ready", isReady}, {"generation", generation}}));
}

HttpReply metrics(const NodeState &node, const std::vector<std::unique_ptr<Worker>> &workers, const FleetStatsReader &readFleetStats)
{
    std::string text;
    for (const auto &worker : workers) {
        Worker &target = *worker;
        text += readOnWorker<std::string>(target, [&target] { return prometheusText(target.metrics, target.index); });
    }
    text += "agatedoor_bundle_generation " + std::to_string(node.bundles.current()->head.generation.value) + "\n";
    text += "agatedoor_head_age_ms " + std::to_string(headAgeMs(node)) + "\n";
    text += "agatedoor_evacuated_zones " + std::to_string(node.headConfirmation.evacuated()->size()) + "\n";
    text += prometheusText(readFleetStats());
    text += "agatedoor_in_flight " + std::to_string(node.inFlight.load()) + "\n";
    text += gateMetrics(*node.localBackends.current());
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(text)};
}

HttpReply handleRequest(const NodeState &node, const std::vector<std::unique_ptr<Worker>> &workers, const FleetStatsReader &readFleetStats,
                        const HttpRequest &request)
{
    if (request.method != "GET") {
        return jsonReply(405, R"({"error":"method-not-allowed"})");
    }
    if (request.target == "/ready") {
        return ready(node);
    }
    if (request.target == "/metrics") {
        return metrics(node, workers, readFleetStats);
    }
    if (request.target == "/dump") {
        return dump(node, workers, readFleetStats);
    }
    return jsonReply(404, R"({"error":"unknown-path"})");
}

} // namespace

HttpHandler makeAdminApi(NodeState &node, const std::vector<std::unique_ptr<Worker>> &workers, FleetStatsReader readFleetStats)
{
    return [&node, &workers, readFleetStats = std::move(readFleetStats)](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        responder->reply(handleRequest(node, workers, readFleetStats, request));
    };
}

} // namespace agatedoor
