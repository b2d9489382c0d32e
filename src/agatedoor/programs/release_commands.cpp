#include "release_commands.hpp"

#include "agatedoor/base/random.hpp"
#include "agatedoor/release/clean_up.hpp"
#include "agatedoor/state/settings.hpp"
#include "agatedoor/wire/etcd_store.hpp"
#include "exit_code.hpp"
#include "fleet_commands.hpp"

#include <iostream>

namespace agatedoor {

namespace {

Operator operatorOf(const Arguments &arguments)
{
    Random random = entropyRandom();
    const std::string operation = arguments.operation.empty() ? randomHex(random) : arguments.operation;
    return {arguments.operatorName, {operation}};
}

Deadline deadlineOf(const Arguments &arguments)
{
    return deadlineAfter(Clock::now(), std::chrono::milliseconds(arguments.timeoutMs));
}

WriteDeadlines writeDeadlines(const Arguments &arguments)
{
    return splitDeadline(Clock::now(), deadlineOf(arguments));
}

Store storeOf(const Arguments &arguments)
{
    return makeEtcdStore(endpointsOf(arguments.stores));
}

RollOutRequest requestOf(const Arguments &arguments)
{
    RollOutRequest request{{arguments.digest}, {}};
    if (arguments.expectedGeneration) {
        request.expected = Generation{*arguments.expectedGeneration};
    }
    return request;
}

int reportRecord(const OperationRecord &record, const Arguments &arguments)
{
    return record.landed ? report(*record.landed, reportOptions(arguments))
                         : report(ReleaseError{OperationAbandoned{{arguments.operation}}}, reportOptions(arguments));
}

int settleAndReport(const Arguments &arguments)
{
    const auto settled = settleOperation(storeOf(arguments), {arguments.operation}, deadlineOf(arguments));
    return settled ? reportRecord(settled.value(), arguments) : report(settled.error(), reportOptions(arguments));
}

} // namespace

int runSignOff(const Arguments &arguments)
{
    const auto text = readTextFile(arguments.bundleFile);
    if (!text) {
        return report(ReleaseError{text.error()}, reportOptions(arguments));
    }
    const auto reply = signOff(storeOf(arguments), operatorOf(arguments), text.value(), arguments.bundleFile, writeDeadlines(arguments));
    return reply ? report(reply.value(), reportOptions(arguments)) : report(reply.error(), reportOptions(arguments));
}

int runRollOut(const Arguments &arguments)
{
    const auto head = rollOut(storeOf(arguments), operatorOf(arguments), requestOf(arguments), writeDeadlines(arguments));
    if (!head) {
        return report(head.error(), reportOptions(arguments));
    }
    const int code = report(head.value(), reportOptions(arguments));
    return arguments.wait ? waitUntilInForce(arguments, head.value().generation) : code;
}

int runOperation(const Arguments &arguments)
{
    if (arguments.settle) {
        return settleAndReport(arguments);
    }
    const auto found = findOperation(storeOf(arguments), {arguments.operation}, deadlineOf(arguments));
    if (!found) {
        return report(found.error(), reportOptions(arguments));
    }
    if (!found.value()) {
        return report(ReleaseError{OutcomeUnknown{{arguments.operation}}}, reportOptions(arguments));
    }
    return reportRecord(*found.value(), arguments);
}

int runBundle(const Arguments &arguments)
{
    const auto bundle = readSignedBundle(storeOf(arguments), {arguments.digest}, deadlineOf(arguments));
    if (!bundle) {
        return report(bundle.error(), reportOptions(arguments));
    }
    if (arguments.text) {
        std::cout << bundle.value().text;
        return exit_code::ok;
    }
    return report(bundle.value(), reportOptions(arguments));
}

int runCleanUp(const Arguments &arguments)
{
    const auto reply = cleanUp(storeOf(arguments), arguments.keptGenerations, deadlineOf(arguments));
    return reply ? report(reply.value(), reportOptions(arguments)) : report(reply.error(), reportOptions(arguments));
}

} // namespace agatedoor
