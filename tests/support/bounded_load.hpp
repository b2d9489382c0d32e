#pragma once

#include "agatedoor/base/time.hpp"
#include "support/deployment.hpp"

#include <map>
#include <string>
#include <vector>

/// @brief Load from a caller process, with the outcome of each of its requests.
namespace agatedoor::test {

/// @brief What the caller sends; arrivals don't wait for answers.
struct LoadOptions
{
    std::vector<Endpoint> nodes; ///< Callers' addresses; each request goes to one of them.
    std::string method = "GET";
    std::string target = "/";
    std::string prefix = "call"; ///< Requests are called prefix-0, prefix-1, ...
    int count = 100;
    double rate = 100; ///< Requests a second.
    std::uint64_t seed = 1;
};

/// @brief One request as its caller saw it.
struct CallRecord
{
    std::string id;
    std::string outcome; ///< Name of the run outcome on the wire, or what became of the connection.
    double atMs = 0; ///< Since the caller's start.
    Endpoint node; ///< Where it was sent.
    TimePoint at;
    TimePoint endedAt;
};

/// @brief A caller process under way.
class BoundedLoad
{
public:
    explicit BoundedLoad(const LoadOptions &options);
    ~BoundedLoad();
    BoundedLoad(const BoundedLoad &) = delete;
    BoundedLoad &operator=(const BoundedLoad &) = delete;

    /// @brief True once the caller has ended; waits up to @p patience for it.
    bool ended(std::chrono::milliseconds patience) { return m_process.waitForExit(patience).has_value(); }
    /// @brief Answers that weren't their request's own; to be asked after the end.
    std::int64_t wrongAnswers() const;
    /// @brief Waits for the caller's end; fails the test when an answer wasn't its request's own. To be called once.
    std::vector<CallRecord> finish();

private:
    std::string m_file;
    Process m_process;
};

/// @brief Number of requests with @p outcome.
std::int64_t countOf(const std::vector<CallRecord> &records, const std::string &outcome);

/// @brief Runs by request id.
using RunCounts = std::map<std::string, std::int64_t>;

/// @brief Adds one backend server's counts to @p total.
void addRuns(RunCounts &total, const boost::json::object &counts);

/// @brief Runs by request id, as all of @p backends counted them.
RunCounts countRuns(const Deployment &deployment, const std::vector<std::string> &backends);

/// @brief Runs of one request; 0 when it is not listed.
std::int64_t runsOf(const RunCounts &runs, const std::string &id);

/// @brief One paragraph for each request that wasn't answered, with what the nodes logged of it. For the message of a failed check.
std::string describeUnanswered(const Deployment &deployment, const std::vector<CallRecord> &records);

/// @brief Expects that what is told as not run did not run, that what is answered ran, and that one that isn't
/// idempotent ran once at most.
void expectTruth(const std::vector<CallRecord> &records, const RunCounts &runs, bool idempotent);

} // namespace agatedoor::test
