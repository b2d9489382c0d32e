#include "support/bounded_load.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace agatedoor::test {

namespace {

namespace json = boost::json;

constexpr std::chrono::seconds callerPatience{90};

std::string recordFile(const std::string &prefix)
{
    return "/tmp/agatedoor-test-" + std::to_string(::getpid()) + "-" + prefix + ".json";
}

std::vector<std::string> argumentsOf(const LoadOptions &options, const std::string &file)
{
    std::vector<std::string> arguments{"bounded_caller", "--method", options.method, "--target", options.target, "--prefix", options.prefix};
    arguments.insert(arguments.end(), {"--record", file, "--count", std::to_string(options.count), "--rate", std::to_string(options.rate)});
    arguments.insert(arguments.end(), {"--seed", std::to_string(options.seed)});
    for (const auto &node : options.nodes) {
        arguments.insert(arguments.end(), {"--node", toText(node)});
    }
    return arguments;
}

/// Times are on the machine's steady clock, which all processes share.
TimePoint timeOf(const json::value &nanoseconds)
{
    return TimePoint(std::chrono::nanoseconds(nanoseconds.to_number<std::int64_t>()));
}

CallRecord recordOf(const json::object &object)
{
    CallRecord record;
    record.id = std::string(object.at("id").as_string());
    record.outcome = std::string(object.at("outcome").as_string());
    record.atMs = object.at("at_ms").to_number<double>();
    record.node = parseEndpoint(std::string(object.at("node").as_string())).value();
    record.at = timeOf(object.at("at_ns"));
    record.endedAt = timeOf(object.at("ended_ns"));
    return record;
}

} // namespace

BoundedLoad::BoundedLoad(const LoadOptions &options)
    : m_file(recordFile(options.prefix))
    , m_process(argumentsOf(options, m_file))
{
}

BoundedLoad::~BoundedLoad()
{
    ::unlink(m_file.c_str());
}

std::int64_t BoundedLoad::wrongAnswers() const
{
    boost::system::error_code error;
    const json::value summary = json::parse(m_process.output(), error);
    return error ? -1 : summary.as_object().at("wrong").to_number<std::int64_t>();
}

std::vector<CallRecord> BoundedLoad::finish()
{
    EXPECT_EQ(m_process.waitForExit(callerPatience), 0) << m_process.output();
    std::ostringstream text;
    text << std::ifstream(m_file).rdbuf();
    const json::value parsed = json::parse(text.str());
    std::vector<CallRecord> records;
    for (const auto &entry : parsed.as_array()) {
        records.push_back(recordOf(entry.as_object()));
    }
    return records;
}

std::int64_t countOf(const std::vector<CallRecord> &records, const std::string &outcome)
{
    return std::count_if(records.begin(), records.end(), [&outcome](const CallRecord &record) { return record.outcome == outcome; });
}

void addRuns(RunCounts &total, const json::object &counts)
{
    for (const auto &[id, count] : counts) {
        total[std::string(id)] += count.to_number<std::int64_t>();
    }
}

RunCounts countRuns(const Deployment &deployment, const std::vector<std::string> &backends)
{
    RunCounts total;
    for (const auto &backend : backends) {
        addRuns(total, deployment.runs(backend));
    }
    return total;
}

std::int64_t runsOf(const RunCounts &runs, const std::string &id)
{
    const auto found = runs.find(id);
    return found == runs.end() ? 0 : found->second;
}

std::string describeUnanswered(const Deployment &deployment, const std::vector<CallRecord> &records)
{
    std::ostringstream text;
    for (const auto &request : records) {
        if (request.outcome == "answered") {
            continue;
        }
        const double tookMs = std::chrono::duration<double, std::milli>(request.endedAt - request.at).count();
        text << request.id << " sent at " << request.atMs << " ms: " << request.outcome << " after " << tookMs << " ms\n";
        text << deployment.logLinesOf(request.id);
    }
    return text.str();
}

void expectTruth(const std::vector<CallRecord> &records, const RunCounts &runs, bool idempotent)
{
    for (const auto &request : records) {
        const std::int64_t count = runsOf(runs, request.id);
        if (!idempotent) {
            EXPECT_LE(count, 1) << request.id << " " << request.outcome;
        }
        if (request.outcome == "not-run") {
            EXPECT_EQ(count, 0) << request.id;
        }
        if (request.outcome == "answered") {
            EXPECT_GE(count, 1) << request.id;
        }
    }
}

} // namespace agatedoor::test
