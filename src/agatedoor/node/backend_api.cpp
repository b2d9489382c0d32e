#include "backend_api.hpp"

#include "agatedoor/control/adopt_departures.hpp"
#include "agatedoor/decide/cold_limit.hpp"
#include "agatedoor/wire/log.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace agatedoor {

namespace {

namespace json = boost::json;

constexpr std::string_view pathPrefix = "/v1/backends/";
constexpr std::string_view drainSuffix = "/drain";

constexpr double maxColdMs = 600'000; ///< A longer time is taken for this one.

/// Connections assumed beyond the slots when neither the announcement nor the bundle gives their number.
constexpr std::int64_t spareConnections = 8;

HttpReply errorReply(int status, std::string_view error)
{
    return jsonReply(status, json::serialize(json::object{{"error", error}}));
}

std::optional<std::string> stringMember(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    return std::string(value->get_string());
}

std::optional<std::int64_t> integerMember(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr || !value->is_int64()) {
        return std::nullopt;
    }
    return value->get_int64();
}

/// Integer of at least 0: 0 if @p object has none, nothing if it is of another type, out of range or negative.
std::optional<std::int64_t> parseCount(const json::object &object, std::string_view key)
{
    if (!object.contains(key)) {
        return 0;
    }
    const auto value = integerMember(object, key);
    return value && *value >= 0 ? value : std::nullopt;
}

/// How much longer a backend server stays cold that doesn't say so, by what the bundle has on its service.
Duration coldByBundle(const NodeState &node, const ServiceName &service, UnixTime born)
{
    const auto inForce = node.bundles.current();
    const Service *known = findService(inForce->bundle, service);
    return known == nullptr ? Duration::zero() : coldSinceStart(born, known->coldTime, readClocks().timeOfDay);
}

/// How much longer the backend server stays cold by its own word, or else @p bySilence; nothing if it is no number or negative.
std::optional<Duration> parseColdLeft(const json::object &object, Duration bySilence)
{
    const json::value *value = object.if_contains("cold_left_ms");
    if (value == nullptr) {
        return bySilence;
    }
    boost::system::error_code error;
    const double left = value->to_number<double>(error);
    if (error || left < 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(std::min(left, maxColdMs)));
}

/// Status in an announcement: serving if it has none, nothing if it is invalid.
std::optional<BackendStatus> parseStatus(const json::object &object)
{
    if (!object.contains("status")) {
        return BackendStatus::Serving;
    }
    const auto word = stringMember(object, "status");
    for (const auto status : {BackendStatus::Serving, BackendStatus::Draining}) {
        if (word == wireName(status)) {
            return status;
        }
    }
    return std::nullopt;
}

/// Connections that the backend server accepts: as announced, otherwise as configured in the bundle but at least one for each slot.
Connections connectionsOf(const NodeState &node, const json::object &object, const ServiceName &service, std::int64_t slots)
{
    if (const auto announced = integerMember(object, "connections")) {
        return {*announced};
    }
    const auto inForce = node.bundles.current();
    const Service *known = findService(inForce->bundle, service);
    const bool configured = known != nullptr && known->connections.value > 0;
    return {std::max(slots, configured ? known->connections.value : slots + spareConnections)};
}

std::optional<Announcement> parseAnnouncement(const NodeState &node, const BackendId &backend, const std::string &body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const json::object &object = value.get_object();
    const auto service = stringMember(object, "service");
    const auto address = stringMember(object, "address");
    const auto slots = integerMember(object, "slots");
    const auto status = parseStatus(object);
    const auto born = parseCount(object, "born");
    const auto sequence = parseCount(object, "sequence");
    if (!service || !address || !slots || !status || !born || !sequence) {
        return std::nullopt;
    }
    const auto coldLeft = parseColdLeft(object, coldByBundle(node, {*service}, {*born}));
    if (!coldLeft) {
        return std::nullopt;
    }
    const auto endpoint = parseEndpoint(*address);
    if (!endpoint) {
        return std::nullopt;
    }
    Announcement announcement;
    announcement.record = {backend, {*service}, {*slots}, connectionsOf(node, object, {*service}, *slots), *status};
    announcement.endpoint = endpoint.value();
    announcement.version = {{*born}, *sequence};
    announcement.coldLeft = *coldLeft;
    return announcement;
}

HttpReply resultReply(const Result<Done, AnnounceError> &result)
{
    if (result || result.error() == AnnounceError::Stale) {
        return jsonReply(200, "{}");
    }
    return errorReply(400, wireName(result.error()));
}

HttpReply refuseAnnouncement(const BackendId &backend, std::string_view why)
{
    logLine(LogLevel::Warn, "announcement-refused", {{"backend", backend.value}, {"reason", std::string(why)}});
    return errorReply(400, why);
}

/// Applies the departure of @p backend that the fleet knows, if any, before its announcement is. Another node, or an earlier process of this
/// one, may have acknowledged a departure that this node doesn't know yet.
void adoptKnownDeparture(NodeState &node, const BackendId &backend, TimePoint now)
{
    const auto fleet = node.fleet.current();
    const auto departure = fleet->departures.find(backend);
    if (departure != fleet->departures.end()) {
        adoptDepartures(node.localBackends, {departure->second}, now);
    }
}

/// The reply to an announcement.
struct AnnounceReply
{
    HttpReply reply;
    bool departs = false; ///< The backend server has begun to drain by its own word, which the reply acknowledges.
};

AnnounceReply announce(NodeState &node, const BackendId &backend, const std::string &body)
{
    const auto announcement = parseAnnouncement(node, backend, body);
    if (!announcement) {
        return {refuseAnnouncement(backend, "malformed-announcement")};
    }
    const auto &allowed = node.settings.backendAddress;
    if (allowed && announcement->endpoint != *allowed) {
        return {refuseAnnouncement(backend, "foreign-address")};
    }
    const auto known = node.localBackends.current();
    const auto before = known->backends.find(backend);
    const bool changed
        = before == known->backends.end() || before->second.record != announcement->record || before->second.version.born != announcement->version.born;
    const ClockReading now = readClocks();
    adoptKnownDeparture(node, backend, now.at);
    const auto result = node.localBackends.announce(*announcement, now);
    if (changed || !result) {
        logLine(LogLevel::Info, "announce",
                {{"backend", backend.value},
                 {"service", announcement->record.service.value},
                 {"status", std::string(wireName(announcement->record.status))},
                 {"slots", announcement->record.slots.value},
                 {"connections", announcement->record.connections.value},
                 {"born", announcement->version.born.value},
                 {"sequence", announcement->version.sequence},
                 {"outcome", result ? std::string("accepted") : std::string(wireName(result.error()))}});
    }
    return {resultReply(result), result && announcement->record.status == BackendStatus::Draining};
}

/// Replies once the departure of @p backend is recorded. Until then it isn't promised: the backend server asks again.
void acknowledgeDeparture(DepartureSync &departures, const BackendId &backend, HttpReply reply, const std::shared_ptr<HttpResponder> &responder)
{
    departures.whenRecorded(backend, [backend, responder, reply = std::move(reply)](bool recorded) {
        if (!recorded) {
            logLine(LogLevel::Warn, "departure-not-recorded", {{"backend", backend.value}});
        }
        responder->reply(recorded ? reply : errorReply(503, "not-recorded"));
    });
}

/// Takes an announcement once it is known what earlier processes of this node acknowledged: it may have been sent before that.
void takeAnnouncement(NodeState &node, DepartureSync &departures, const BackendId &backend, const std::string &body,
                      const std::shared_ptr<HttpResponder> &responder)
{
    departures.whenKnown([&node, &departures, backend, body, responder](bool known) {
        if (!known) {
            logLine(LogLevel::Warn, "announcement-refused", {{"backend", backend.value}, {"reason", std::string("departures-unknown")}});
            responder->reply(errorReply(503, "departures-unknown"));
            return;
        }
        AnnounceReply announced = announce(node, backend, body);
        if (announced.departs) {
            acknowledgeDeparture(departures, backend, std::move(announced.reply), responder);
        } else {
            responder->reply(std::move(announced.reply));
        }
    });
}

void drain(NodeState &node, DepartureSync &departures, const BackendId &backend, const std::shared_ptr<HttpResponder> &responder)
{
    const LeaveEffect effect = node.localBackends.drain(backend, readClocks());
    logLine(LogLevel::Info, "drain", {{"backend", backend.value}, {"outcome", std::string(wireName(effect))}});
    acknowledgeDeparture(departures, backend, jsonReply(200, "{}"), responder);
}

void withdraw(NodeState &node, DepartureSync &departures, const BackendId &backend, const std::shared_ptr<HttpResponder> &responder)
{
    const LeaveEffect effect = node.localBackends.withdraw(backend, readClocks());
    logLine(LogLevel::Info, "withdraw", {{"backend", backend.value}, {"outcome", std::string(wireName(effect))}});
    acknowledgeDeparture(departures, backend, jsonReply(200, "{}"), responder);
}

HttpReply backendStatus(const NodeState &node, const BackendId &backend)
{
    const auto backends = node.localBackends.current();
    const auto found = backends->backends.find(backend);
    if (found == backends->backends.end()) {
        return errorReply(404, "unknown-backend");
    }
    const BackendLoad load = loadOf(*found->second.gate);
    const json::object body{{"status", wireName(found->second.record.status)}, {"running", load.running}, {"queued", load.queued}};
    return jsonReply(200, json::serialize(body));
}

void handleRequest(NodeState &node, DepartureSync &departures, const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    std::string_view path = request.target;
    if (!path.starts_with(pathPrefix)) {
        responder->reply(errorReply(404, "unknown-path"));
        return;
    }
    path.remove_prefix(pathPrefix.size());
    const bool draining = path.ends_with(drainSuffix);
    if (draining) {
        path.remove_suffix(drainSuffix.size());
    }
    const BackendId backend{std::string(path)};
    if (backend.value.empty()) {
        responder->reply(errorReply(404, "unknown-path"));
    } else if (draining && request.method == "POST") {
        drain(node, departures, backend, responder);
    } else if (draining) {
        responder->reply(errorReply(405, "method-not-allowed"));
    } else if (request.method == "PUT") {
        takeAnnouncement(node, departures, backend, request.body, responder);
    } else if (request.method == "DELETE") {
        withdraw(node, departures, backend, responder);
    } else {
        responder->reply(request.method == "GET" ? backendStatus(node, backend) : errorReply(405, "method-not-allowed"));
    }
}

} // namespace

HttpHandler makeBackendApi(NodeState &node, DepartureSync &departures)
{
    return [&node, &departures](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
        handleRequest(node, departures, request, responder);
    };
}

} // namespace agatedoor
