#include "agatedoor/base/time.hpp"
#include "support/deployment.hpp"
#include "support/raw_connection.hpp"
#include "support/story.hpp"

#include <atomic>
#include <csignal>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace agatedoor::test {

namespace {

constexpr int clientCount = 6;
constexpr int serviceUs = 150'000; ///< Longer than a stopping node's last steps take.
constexpr int pauseStepMs = 37; ///< Callers wait before each request, so that the node is idle at times.
constexpr int longestPauseMs = 400;
constexpr std::size_t connectionCount = 40; ///< Of requests whose deadlines lie around the end of a stop.

/// Ids of the requests that were answered whole.
class Answered
{
public:
    void add(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_ids.insert(id);
    }
    bool contains(const std::string &id) const
    {
        const std::lock_guard lock(m_mutex);
        return m_ids.contains(id);
    }
    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_ids.size();
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_ids;
};

/// Sends requests over one open connection for as long as it lasts, then over the next, until told to end.
void keepAsking(const Endpoint &callers, const std::string &prefix, const std::atomic<bool> &ended, Answered &answered)
{
    int number = 0;
    while (!ended) {
        const RawConnection connection(callers, OtherEnd::MayBeGone);
        bool open = true;
        while (open && !ended) {
            std::this_thread::sleep_for(std::chrono::milliseconds(number * pauseStepMs % longestPauseMs));
            const std::string id = prefix + std::to_string(number++);
            connection.send("GET /ritarkiv HTTP/1.1\r\nHost: a\r\nAgatedoor-Request-Id: " + id + "\r\n\r\n");
            const std::string answer = connection.receive("}");
            open = answer.find("HTTP/1.1 ") == 0 && answer.find("Connection: close") == std::string::npos;
            if (answer.find("HTTP/1.1 200") == 0 && answer.find('}') != std::string::npos) {
                answered.add(id);
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
}

} // namespace

TEST(Stop, AnswersEveryRequestThatItPassedOn)
{
    Deployment deployment;
    deployment.startStore();
    deployment.startNode({"node1", "sv-uppsala", "svealand"});
    deployment.startNode({"node2", "sv-uppsala", "svealand"});
    deployment.startNode({"node3", "sv-uppsala", "svealand"});
    deployment.rollOut("examples/deployments/statens_takstolsverk.toml");
    deployment.startBackend({"drawings", "node2", "ritarkiv", 12, 260, serviceUs});
    deployment.waitUntilReady(1);
    std::atomic<bool> ended{false};
    Answered answered;
    std::vector<std::thread> clients;
    clients.reserve(clientCount);
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] { keepAsking(deployment.callers("node1"), "c" + std::to_string(i) + "-", ended, answered); });
    }
    section("callers keep using their connections while the node stops", [&] {
        EXPECT_TRUE(eventually([&] { return answered.size() > 20; }));
        deployment.kill("node3"); // The stopping node tells it, too, and waits a moment for that.
        deployment.node("node1").signal(SIGTERM);
        EXPECT_EQ(deployment.node("node1").waitForExit(std::chrono::seconds(10)), 0);
    });
    ended = true;
    for (auto &client : clients) {
        client.join();
    }
    section("every request that reached the backend server was answered", [&] {
        for (const auto &run : deployment.runs("drawings")) {
            EXPECT_TRUE(answered.contains(std::string(run.key()))) << run.key();
        }
    });
}

TEST(Stop, TakesNothingThatMayOutlastIt)
{
    Deployment deployment;
    deployment.startStore();
    deployment.startNode({.name = "node1", .zone = "sv-uppsala", .region = "svealand", .stopLimitS = 6});
    deployment.startNode({"node2", "sv-uppsala", "svealand"});
    deployment.rollOut("examples/deployments/statens_takstolsverk.toml");
    deployment.startBackend({"drawings", "node2", "ritarkiv"});
    deployment.startBackend({"inspections", "node2", "besiktning", 4, 64, 4'500'000});
    deployment.waitUntilReady(2);
    const Endpoint callers = deployment.callers("node1");
    const RawConnection first(callers);
    const RawConnection second(callers);
    const std::string longRequest = "POST /besiktning HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nAgatedoor-Request-Id: ";
    auto holding = std::async(std::launch::async, [&] { return ask(callers, {"POST", "/besiktning", {}, {}}); });
    ASSERT_TRUE(eventually([&] { return !deployment.runs("inspections").empty(); }));
    deployment.node("node1").signal(SIGTERM);
    ASSERT_TRUE(eventually([&] { return ask(callers, {"GET", "/ritarkiv", {}, {}}).status == 0; }, std::chrono::seconds(5)));
    section("a request that may take longer than the rest of the stop is refused as not run, over an open connection too", [&] {
        first.send(longRequest + "late\r\n\r\n");
        const std::string answer = first.receive("}");
        EXPECT_NE(answer.find("Agatedoor-Reason: stopping"), std::string::npos) << answer;
        EXPECT_NE(answer.find("Agatedoor-Outcome: not-run"), std::string::npos) << answer;
    });
    section("a short one is still answered", [&] {
        second.send("GET /ritarkiv HTTP/1.1\r\nHost: a\r\nAgatedoor-Timeout-Us: 500000\r\n\r\n");
        EXPECT_EQ(second.receive("}").find("HTTP/1.1 200"), 0U);
    });
    section("so is the one in progress, and what was refused didn't run", [&] {
        EXPECT_EQ(holding.get().status, 200);
        EXPECT_EQ(deployment.node("node1").waitForExit(std::chrono::seconds(10)), 0);
        EXPECT_FALSE(deployment.runs("inspections").contains("late"));
    });
}

/// Guards against a request that is taken during the stop, passed on, and cut without an answer when the stop ends.
TEST(Stop, AnswersWhatItTookAlsoAtItsVeryEnd)
{
    Deployment deployment;
    deployment.startStore();
    deployment.startNode({.name = "node1", .zone = "sv-uppsala", .region = "svealand", .stopLimitS = 6});
    deployment.startNode({"node2", "sv-uppsala", "svealand"});
    deployment.rollOut("examples/deployments/statens_takstolsverk.toml");
    deployment.startBackend({.name = "inspections", .node = "node2", .service = "besiktning", .slots = 64, .serviceUs = 20'000'000});
    deployment.waitUntilReady(1);
    const Endpoint callers = deployment.callers("node1");
    const std::string head = "POST /besiktning HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nAgatedoor-Timeout-Us: ";
    const RawConnection early(callers);
    std::vector<std::unique_ptr<RawConnection>> connections;
    connections.reserve(connectionCount);
    for (std::size_t i = 0; i < connectionCount; ++i) {
        connections.push_back(std::make_unique<RawConnection>(callers));
    }
    const TimePoint stopAt = Clock::now();
    deployment.node("node1").signal(SIGTERM);
    section("a request that comes before callers can have noticed the stop, and whose deadline is after it", [&] {
        std::this_thread::sleep_until(stopAt + std::chrono::seconds(1));
        early.send(head + "9000000\r\n\r\n");
    });
    section("and later ones, whose deadlines lie close together around the end of the stop", [&] {
        std::this_thread::sleep_until(stopAt + std::chrono::seconds(3));
        for (std::size_t i = 0; i < connections.size(); ++i) {
            const auto deadline = stopAt + std::chrono::milliseconds(5420 + 3 * i);
            const auto left = std::chrono::duration_cast<std::chrono::microseconds>(deadline - Clock::now());
            connections[i]->send(head + std::to_string(left.count()) + "\r\n\r\n");
        }
    });
    section("all get an answer: refused as not run at once, or told that the outcome is unknown", [&] {
        EXPECT_EQ(early.receive("}").find("HTTP/1.1 50"), 0U);
        for (const auto &connection : connections) {
            EXPECT_EQ(connection->receive("}").find("HTTP/1.1 50"), 0U);
        }
        EXPECT_EQ(deployment.node("node1").waitForExit(std::chrono::seconds(10)), 0);
    });
}

} // namespace agatedoor::test
