#include "release_report.hpp"

#include "exit_code.hpp"

#include <boost/json.hpp>

#include <iostream>

namespace agatedoor {

namespace {

namespace json = boost::json;

constexpr const char *followUpCommandKey = "learn_with"; ///< Field with the command that looks up an unknown outcome.

/// One line of output: its fields, in the order in which they are printed, and the exit code.
struct ResultLine
{
    json::object fields;
    int code = exit_code::ok;
};

/// A string without quotes, and any other value as JSON.
std::string plainText(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

/// Prints JSON to stdout; text goes to stdout for exit code 0 and to stderr otherwise.
int print(const ResultLine &line, const ReportOptions &options)
{
    std::ostream &stream = line.code == exit_code::ok ? std::cout : std::cerr;
    if (options.json) {
        std::cout << json::serialize(line.fields) << "\n";
        return line.code;
    }
    const char *separator = "";
    for (const auto &[key, value] : line.fields) {
        stream << separator << std::string_view(key.data(), key.size()) << "=" << plainText(value);
        separator = " ";
    }
    stream << "\n";
    return line.code;
}

ResultLine toResultLine(const ConfigError &error)
{
    return {{{"result", "refused"}, {"error", toText(error)}}, exit_code::badConfig};
}

ResultLine toResultLine(const StoreError &error)
{
    return {{{"result", "store-failed"}, {"error", wireName(error.kind)}, {"status", error.status}}, exit_code::storeFailed};
}

ResultLine toResultLine(const RollOutConflict &conflict)
{
    return {{
                {"result", "conflict"},
                {"winner_generation", conflict.winner.generation.value},
                {"winner_operation", conflict.winner.operation.value},
                {"winner_operator", conflict.winner.operatorName},
                {"winner_digest", conflict.winner.digest.value},
            },
            exit_code::conflict};
}

ResultLine toResultLine(const NotSignedOff &error)
{
    return {{{"result", "not-signed-off"}, {"digest", error.digest.value}}, exit_code::notSignedOff};
}

ResultLine toResultLine(const DamagedRecord &error)
{
    return {{{"result", "damaged-record"}, {"key", error.key}}, exit_code::failed};
}

ResultLine toResultLine(const GenerationMismatch &error)
{
    return {{{"result", "generation-mismatch"}, {"expected_generation", error.expected.value}, {"found_generation", error.found.value}}, exit_code::conflict};
}

ResultLine toResultLine(const OperationReused &error)
{
    return {{
                {"result", "operation-reused"},
                {"operation", error.landed.operation.value},
                {"landed_generation", error.landed.generation.value},
                {"landed_digest", error.landed.digest.value},
            },
            exit_code::conflict};
}

ResultLine toResultLine(const OperationAbandoned &error)
{
    return {{{"result", "not-applied"}, {"operation", error.operation.value}}, exit_code::storeFailed};
}

/// report() appends the `--store` options to the command.
ResultLine toResultLine(const OutcomeUnknown &error)
{
    return {{{"result", "unknown"}, {"operation", error.operation.value}, {followUpCommandKey, "agatectl operation --settle " + error.operation.value}},
            exit_code::unknownOutcome};
}

ResultLine toResultLine(const SignOffUnknown &error)
{
    return {{{"result", "unknown"}, {"digest", error.digest.value}, {followUpCommandKey, "agatectl bundle " + error.digest.value}}, exit_code::unknownOutcome};
}

void appendStoreOptions(ResultLine &line, const ReportOptions &options)
{
    if (json::value *command = line.fields.if_contains(followUpCommandKey)) {
        *command = plainText(*command) + options.stores;
    }
}

} // namespace

int report(const SignOffReply &reply, const ReportOptions &options)
{
    return print({{{"result", "signed-off"}, {"digest", reply.digest.value}, {"already_there", reply.alreadyStored}}, exit_code::ok}, options);
}

int report(const HeadRecord &head, const ReportOptions &options)
{
    return print({{
                      {"result", "rolled-out"},
                      {"generation", head.generation.value},
                      {"digest", head.digest.value},
                      {"operation", head.operation.value},
                      {"operator", head.operatorName},
                  },
                  exit_code::ok},
                 options);
}

int report(const ReleaseError &error, const ReportOptions &options)
{
    ResultLine line = std::visit([](const auto &kind) { return toResultLine(kind); }, error);
    appendStoreOptions(line, options);
    return print(line, options);
}

int report(const SignedBundle &bundle, const ReportOptions &options)
{
    return print({{
                      {"result", "signed-off"},
                      {"digest", bundle.digest.value},
                      {"operation", bundle.operation.value},
                      {"operator", bundle.operatorName},
                      {"bytes", bundle.text.size()},
                  },
                  exit_code::ok},
                 options);
}

int report(const CleanUpReply &reply, const ReportOptions &options)
{
    return print({{{"result", "cleaned-up"}, {"generations", reply.generations.size()}, {"bundles", reply.bundles.size()}}, exit_code::ok}, options);
}

bool inForceEverywhere(const FleetStatus &status, Generation generation)
{
    return status.unresponsive.empty() && (status.nodesByGeneration.empty() || status.nodesByGeneration.begin()->first >= generation);
}

int report(const FleetStatus &status, Generation expected, const ReportOptions &options)
{
    int upToDate = 0;
    int total = static_cast<int>(status.unresponsive.size());
    for (const auto &[generation, nodes] : status.nodesByGeneration) {
        print({{{"in_force", generation.value}, {"nodes", nodes}}, exit_code::ok}, options);
        total += nodes;
        upToDate += generation >= expected ? nodes : 0;
    }
    for (const auto &admin : status.unresponsive) {
        print({{{"no_answer_from", toText(admin)}}, exit_code::ok}, options);
    }
    const bool everywhere = inForceEverywhere(status, expected);
    const char *result = everywhere ? "in-force-everywhere" : "not-everywhere";
    return print(
        {{{"result", result}, {"generation", expected.value}, {"nodes", upToDate}, {"of", total}}, everywhere ? exit_code::ok : exit_code::notEverywhere},
        options);
}

int report(const StoreError &error, const ReportOptions &options)
{
    ResultLine line = toResultLine(error);
    line.code = notApplied(error) ? exit_code::storeFailed : exit_code::unknownOutcome;
    return print(line, options);
}

int reportEvacuation(const ZoneName &zone, bool evacuated, const ReportOptions &options)
{
    return print({{{"result", evacuated ? "evacuated" : "taken-back"}, {"zone", zone.value}}, exit_code::ok}, options);
}

int reportNothingRolledOut(const ReportOptions &options)
{
    return print({{{"result", "nothing-rolled-out"}}, exit_code::failed}, options);
}

} // namespace agatedoor
