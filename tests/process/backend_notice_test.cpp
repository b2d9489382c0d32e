#include "support/bounded_load.hpp"
#include "support/story.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>

/// @brief Backend servers that say in their answers how many requests they take, or that they leave.
namespace agatedoor::test {

namespace {

using std::chrono::seconds;

constexpr double namedLimit = 5; ///< Requests a second.
constexpr seconds window{4};
constexpr seconds graceTime{3}; ///< From the first answer that names the limit.
constexpr std::size_t mostInWindow = static_cast<std::size_t>(1.5 * namedLimit * 4) + 5;
constexpr seconds leaveBound{2};

/// Two nodes; both backend servers are at the second.
class TwoBackends : public Deployment
{
public:
    TwoBackends()
    {
        startStore();
        rollOut("examples/deployments/liwanag.toml");
        startNode({"ingress", "manila-a", "luzon"});
        startNode({"owner", "manila-a", "luzon"});
        for (const std::string name : {"needy", "sound"}) {
            std::filesystem::remove(runLog(name));
            startBackend({.name = name, .node = "owner", .service = "catalogue", .heartbeatMs = 200, .runLog = runLog(name)});
        }
        waitUntilReady(2);
    }

    std::string runLog(const std::string &backend) const { return std::filesystem::temp_directory_path() / ("runs-" + net() + "-" + backend); }

    LoadOptions load(int count, double rate, const std::string &prefix) const
    {
        return {.nodes = {callers("ingress")}, .target = "/catalogue", .prefix = prefix, .count = count, .rate = rate};
    }

    /// When each request reached @p backend, in order.
    std::vector<TimePoint> arrivals(const std::string &backend) const
    {
        std::vector<TimePoint> times;
        std::ifstream log(runLog(backend));
        std::string event;
        std::string id;
        std::int64_t at = 0;
        while (log >> event >> id >> at) {
            times.emplace_back(std::chrono::nanoseconds(at));
        }
        std::sort(times.begin(), times.end());
        return times;
    }
};

/// Most arrivals in any window that starts at @p from or later.
std::size_t mostArrivals(const std::vector<TimePoint> &arrivals, TimePoint from)
{
    std::size_t most = 0;
    for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from); first != arrivals.end(); ++first) {
        const auto last = std::lower_bound(first, arrivals.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace

/// Guards against a backend server that gets far more requests than it said that it takes.
TEST(BackendNotices, ABackendServerGetsNoMoreRequestsThanItNames)
{
    TwoBackends deployment;
    deployment.behave("needy", R"({"request_limit":"5.0"})");
    section("it gets what it takes, and the other one all the rest", [&] {
        const auto records = BoundedLoad(deployment.load(540, 60, "first")).finish();
        const auto arrivals = deployment.arrivals("needy");
        ASSERT_FALSE(arrivals.empty());
        EXPECT_LE(mostArrivals(arrivals, arrivals.front() + graceTime), mostInWindow);
        EXPECT_GE(arrivals.size(), 20U) << "it still gets some";
        EXPECT_EQ(countOf(records, "answered"), 540) << describeUnanswered(deployment, records);
    });
    section("that holds over a restart of its own node", [&] {
        BoundedLoad load(deployment.load(480, 60, "second"));
        std::this_thread::sleep_for(seconds(2));
        const TimePoint restartedAt = Clock::now();
        deployment.kill("owner");
        deployment.startNode({"owner", "manila-a", "luzon"});
        load.finish();
        EXPECT_LE(mostArrivals(deployment.arrivals("needy"), restartedAt), mostInWindow);
    });
    section("and ends when it no longer says so", [&] {
        deployment.behave("needy", R"({"request_limit":""})");
        const std::size_t before = deployment.arrivals("needy").size();
        BoundedLoad(deployment.load(240, 60, "third")).finish();
        EXPECT_GT(deployment.arrivals("needy").size() - before, mostInWindow);
    });
}

/// Guards against a backend server that gets requests although its answers say that it leaves.
TEST(BackendNotices, ABackendServerThatSaysItLeavesGetsNoMoreRequests)
{
    TwoBackends deployment;
    deployment.behave("needy", R"({"leaving":true})");
    BoundedLoad(deployment.load(60, 60, "told")).finish();
    const TimePoint toldAt = deployment.arrivals("needy").front();
    section("soon after the first such answer", [&] {
        BoundedLoad(deployment.load(180, 60, "after")).finish();
        EXPECT_LE(deployment.arrivals("needy").back(), toldAt + leaveBound);
    });
    section("also when its node has restarted, while it goes on announcing itself as serving", [&] {
        const std::size_t before = deployment.arrivals("needy").size();
        deployment.kill("owner");
        deployment.startNode({"owner", "manila-a", "luzon"});
        BoundedLoad(deployment.load(300, 60, "restarted")).finish();
        EXPECT_EQ(deployment.arrivals("needy").size(), before);
        EXPECT_GT(deployment.arrivals("sound").size(), 300U);
    });
}

} // namespace agatedoor::test
