#include "agatedoor/state/request_trial.hpp"
#include "support/deployment.hpp"
#include "support/story.hpp"

#include <boost/json.hpp>

#include <future>
#include <thread>

namespace agatedoor::test {

namespace {

constexpr const char *bundle = "examples/deployments/statens_takstolsverk.toml";
constexpr int owners = 5;
constexpr int allowedEnds = 3;
constexpr std::chrono::milliseconds betweenArrivals{400}; ///< Longer than it takes what one node learned to reach all.

/// Two ingress nodes, and five nodes with a backend server each, all of one service.
class DeadlyRequests : public ::testing::Test
{
protected:
    void SetUp() override
    {
        deployment.startStore();
        deployment.rollOut(bundle);
        deployment.startNode({"ingress0", "sv-uppsala", "svealand"});
        deployment.startNode({"ingress1", "sv-vasteras", "svealand"});
        for (int i = 0; i < owners; ++i) {
            deployment.startNode({"owner" + std::to_string(i), "sv-uppsala", "svealand"});
            startBackend(i);
        }
        deployment.waitUntilReady(owners);
    }

    void startBackend(int backend)
    {
        deployment.startBackend({.name = nameOf(backend), .node = "owner" + std::to_string(backend), .service = "ritarkiv", .serviceUs = 60'000});
    }

    static std::string nameOf(int backend) { return "drawings" + std::to_string(backend); }

    /// A lookup by @p caller; a deadly one ends the backend server that runs it.
    HttpReply lookUp(const std::string &node, const std::string &id, bool deadly, const std::string &caller = "crew-7") const
    {
        HttpRequest request{"GET", "/ritarkiv/drawing?page=1", {{"Host", "drawings.example"}, {"Agatedoor-Request-Id", id}, {"Authorization", caller}}, ""};
        if (deadly) {
            request.fields.push_back({"Stand-In-Ends", "1"});
        }
        return ask(deployment.callers(node), request);
    }

    int endedBackends()
    {
        int ended = 0;
        for (int i = 0; i < owners; ++i) {
            ended += deployment.backend(nameOf(i)).waitForExit(std::chrono::milliseconds(0)) ? 1 : 0;
        }
        return ended;
    }

    /// Sends the deadly request ten times, to both nodes in turn, each time under another id and beside a harmless one.
    HttpReply sendAgainAndAgain()
    {
        HttpReply last;
        for (int i = 0; i < 10; ++i) {
            const std::string node = "ingress" + std::to_string(i % 2);
            auto harmless = std::async(std::launch::async, [&] { return lookUp("ingress1", "harmless-" + std::to_string(i), false); });
            last = lookUp(node, "deadly-" + std::to_string(i), true);
            harmless.get();
            std::this_thread::sleep_for(betweenArrivals);
        }
        return last;
    }

    Deployment deployment;
};

} // namespace

/// Guards against one request that ends backend server after backend server, as each arrival and each retry is sent to another one.
TEST_F(DeadlyRequests, EndThreeBackendServersAndNoMore)
{
    const HttpReply last = sendAgainAndAgain();
    section("at most three have ended, and the request is refused as not run, without an invitation to come again", [&] {
        EXPECT_LE(endedBackends(), allowedEnds);
        EXPECT_EQ(last.status, 503);
        EXPECT_EQ(fieldOf(last.fields, "Agatedoor-Outcome"), "not-run");
        EXPECT_EQ(fieldOf(last.fields, "Agatedoor-Reason"), "ends-backends");
        EXPECT_EQ(fieldOf(last.fields, "Retry-After"), "");
    });
    section("the same request without its deadly part is served, as is the harmless one that came beside it", [&] {
        EXPECT_EQ(lookUp("ingress0", "other-1", false, "crew-8").status, 200);
        EXPECT_EQ(lookUp("ingress0", "harmless-again", false).status, 200);
    });
    section("another customer's request with the same target and body isn't judged by this one",
            [&] { EXPECT_NE(fieldOf(lookUp("ingress0", "other-2", true, "crew-9").fields, "Agatedoor-Reason"), "ends-backends"); });
}

/// Guards against a node that starts later and knows nothing of the ends.
TEST_F(DeadlyRequests, AreRefusedByANodeThatStartsLater)
{
    sendAgainAndAgain();
    deployment.kill("ingress0");
    deployment.startNode({"ingress0", "sv-uppsala", "svealand"});
    ASSERT_TRUE(eventually([&] { return lookUp("ingress0", "warm-up", false).status == 200; }));
    const int ended = endedBackends();
    EXPECT_TRUE(eventually([&] { return fieldOf(lookUp("ingress0", "deadly-again", true).fields, "Agatedoor-Reason") == "ends-backends"; }));
    EXPECT_EQ(endedBackends(), ended);
}

/// Guards against trials of a refused request that take backend server after backend server with them.
TEST_F(DeadlyRequests, AreTriedAFewTimesAndNoMore)
{
    int ended = 0;
    const auto startAgain = [&] {
        for (int i = 0; i < owners; ++i) {
            if (deployment.backend(nameOf(i)).waitForExit(std::chrono::milliseconds(0))) {
                ++ended;
                startBackend(i);
            }
        }
    };
    const auto until = std::chrono::steady_clock::now() + TrialOptions{}.wait + std::chrono::seconds(6);
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
        lookUp("ingress" + std::to_string(i % 2), "deadly-" + std::to_string(i), true);
        startAgain();
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    EXPECT_GE(ended, allowedEnds);
    EXPECT_LE(ended, allowedEnds + 1); // One trial by then; both nodes go on refusing.
}

} // namespace agatedoor::test
