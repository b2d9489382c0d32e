#include "backend_api.hpp"

#include "agatedoor/control/adopt_departures.hpp"
#include "agatedoor/wire/log.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace agatedoor {

namespace {

namespace json = boost::json;

constexpr std::string_view pathPrefix = "/v1/backends/";
constexpr std::string_view drainSuffix = "/drain";

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
    const auto endpoint = parseEndpoint(*address);
    if (!endpoint) {
        return std::nullopt;
    }
    Announcement announcement;
    announcement.record = {backend, {*service}, {*slots}, connectionsOf(node, object, {*service}, *slots), *status};
    announcement.endpoint = endpoint.value();
    announcement.version = {{*born}, *sequence};
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

HttpReply announce(NodeState &node, const BackendId &backend, const std::string &body)
{
    const auto announcement = parseAnnouncement(node, backend, body);
    if (!announcement) {
        return refuseAnnouncement(backend, "malformed-announcement");
    }
    const auto &allowed = node.settings.backendAddress;
    if (allowed && announcement->endpoint != *allowed) {
        return refuseAnnouncement(backend, "foreign-address");
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
    return resultReply(result);
}

HttpReply drain(NodeState &node, const BackendId &backend)
{
    const LeaveEffect effect = node.localBackends.drain(backend, readClocks());
    logLine(LogLevel::Info, "drain", {{"backend", backend.value}, {"outcome", std::string(wireName(effect))}});
    return jsonReply(200, "{}");
}

HttpReply withdraw(NodeState &node, const BackendId &backend)
{
    const LeaveEffect effect = node.localBackends.withdraw(backend, readClocks());
    logLine(LogLevel::Info, "withdraw", {{"backend", backend.value}, {"outcome", std::string(wireName(effect))}});
    return jsonReply(200, "{}");
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

HttpReply handleRequest(NodeState &node, const HttpRequest &request)
{
    std::string_view path = request.target;
    if (!path.starts_with(pathPrefix)) {
        return errorReply(404, "unknown-path");
    }
    path.remove_prefix(pathPrefix.size());
    const bool draining = path.ends_with(drainSuffix);
    if (draining) {
        path.remove_suffix(drainSuffix.size());
    }
    const BackendId backend{std::string(path)};
    if (backend.value.empty()) {
        return errorReply(404, "unknown-path");
    }
    if (draining) {
        return request.method == "POST" ? drain(node, backend) : errorReply(405, "method-not-allowed");
    }
    if (request.method == "PUT") {
        return announce(node, backend, request.body);
    }
    if (request.method == "DELETE") {
        return withdraw(node, backend);
    }
    return request.method == "GET" ? backendStatus(node, backend) : errorReply(405, "method-not-allowed");
}

} // namespace

HttpHandler makeBackendApi(NodeState &node)
{
    return [&node](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { responder->reply(handleRequest(node, request)); };
}

} // namespace agatedoor
