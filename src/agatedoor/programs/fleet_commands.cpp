#include "fleet_commands.hpp"

#include "agatedoor/release/evacuations.hpp"
#include "agatedoor/wire/etcd_store.hpp"
#include "agatedoor/wire/http_call.hpp"
#include "exit_code.hpp"

#include <boost/json.hpp>

#include <iostream>
#include <thread>

namespace agatedoor {

namespace {

namespace json = boost::json;

constexpr std::chrono::seconds adminTimeout{2};
constexpr std::chrono::milliseconds pollInterval{50};
constexpr int statusOk = 200;

/// Generation in force at one node; none when it doesn't answer or its reply is malformed.
std::optional<Generation> generationAt(const Endpoint &admin, Deadline deadline)
{
    const auto reply = httpCall(admin, {"GET", "/ready", {}, {}}, earlier(deadline, deadlineAfter(Clock::now(), adminTimeout)));
    if (!reply) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const json::value body = json::parse(reply.value().body, error);
    const json::object *object = error ? nullptr : body.if_object();
    const json::value *generation = object == nullptr ? nullptr : object->if_contains("generation");
    std::uint64_t number = 0;
    if (generation == nullptr || !generation->is_number()) {
        return std::nullopt;
    }
    number = generation->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(Generation{number});
}

FleetStatus queryNodes(const std::vector<Endpoint> &admins, Deadline deadline)
{
    FleetStatus status;
    for (const auto &admin : admins) {
        const auto generation = generationAt(admin, deadline);
        if (generation) {
            ++status.nodesByGeneration[*generation];
        } else {
            status.unresponsive.push_back(admin);
        }
    }
    return status;
}

Deadline deadlineIn(std::int64_t milliseconds)
{
    return deadlineAfter(Clock::now(), std::chrono::milliseconds(milliseconds));
}

} // namespace

int runStatus(const Arguments &arguments)
{
    const Store store = makeEtcdStore(endpointsOf(arguments.stores));
    const auto head = readHead(store, deadlineIn(arguments.timeoutMs));
    if (!head) {
        return report(head.error(), reportOptions(arguments));
    }
    if (!head.value()) {
        return reportNothingRolledOut(reportOptions(arguments));
    }
    const int code = report(*head.value(), reportOptions(arguments));
    if (arguments.admins.empty()) {
        return code;
    }
    return report(queryNodes(endpointsOf(arguments.admins), deadlineIn(arguments.waitMs)), head.value()->generation, reportOptions(arguments));
}

int waitUntilInForce(const Arguments &arguments, Generation generation)
{
    const auto admins = endpointsOf(arguments.admins);
    const Deadline deadline = deadlineIn(arguments.waitMs);
    FleetStatus status = queryNodes(admins, deadline);
    while (!inForceEverywhere(status, generation) && !expired(deadline, Clock::now())) {
        std::this_thread::sleep_for(pollInterval);
        status = queryNodes(admins, deadline);
    }
    return report(status, generation, reportOptions(arguments));
}

int runEvacuate(const Arguments &arguments)
{
    const Store store = makeEtcdStore(endpointsOf(arguments.stores));
    const ZoneName zone{arguments.zone};
    const auto written = writeEvacuation(store, zone, !arguments.end, deadlineIn(arguments.timeoutMs));
    return written ? reportEvacuation(zone, !arguments.end, reportOptions(arguments)) : report(written.error(), reportOptions(arguments));
}

int runDump(const Arguments &arguments)
{
    for (const auto &endpoint : endpointsOf(arguments.admins)) {
        const auto reply = httpCall(endpoint, {"GET", "/dump", {}, {}}, deadlineAfter(Clock::now(), adminTimeout));
        if (!reply || reply.value().status != statusOk) {
            std::cerr << "dump: no valid reply from " << toText(endpoint) << "\n";
            return exit_code::failed;
        }
        std::cout << reply.value().body << "\n";
    }
    return exit_code::ok;
}

} // namespace agatedoor
