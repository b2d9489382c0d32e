#include "support/deployment.hpp"
#include "support/story.hpp"

#include <atomic>
#include <thread>

namespace agatedoor::test {

namespace {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

constexpr const char *bundle = "examples/deployments/statens_takstolsverk.toml";
constexpr int owners = 6;
constexpr int copies = 24; ///< As many as run at once on all backend servers.
constexpr auto runTime = 600ms;
constexpr auto servedAgainWithin = 10s; ///< After its backend servers are back, a request that was locked out with them is served.
constexpr auto toldWithin = 1s; ///< What one node has learned, all know.

/// Two ingress nodes, and six nodes with a backend server each, all of one service. Callers send the same order again and again.
class SoundRequests : public ::testing::Test
{
protected:
    void SetUp() override
    {
        deployment.startStore();
        deployment.rollOut(bundle);
        deployment.startNode({"ingress0", "sv-uppsala", "svealand"});
        deployment.startNode({"ingress1", "sv-uppsala", "svealand"});
        for (int i = 0; i < owners; ++i) {
            deployment.startNode({ownerOf(i), "sv-uppsala", "svealand"});
            startBackend(i);
        }
        deployment.waitUntilReady(owners);
    }

    static std::string nameOf(int backend) { return "orders" + std::to_string(backend); }
    static std::string ownerOf(int backend) { return "owner" + std::to_string(backend); }

    void startBackend(int backend)
    {
        deployment.startBackend({.name = nameOf(backend),
                                 .node = ownerOf(backend),
                                 .service = "bestallning",
                                 .serviceUs = static_cast<int>(std::chrono::microseconds(runTime).count())});
    }

    HttpReply send(const std::string &node, const std::string &id) const
    {
        const HttpRequest request{
            "POST", "/bestallning/refresh", {{"Host", "orders.example"}, {"Agatedoor-Request-Id", id}, {"Agatedoor-Timeout-Us", "3000000"}}, "{}"};
        return ask(deployment.callers(node), request);
    }

    /// Sends many copies at once to one node, and ends the first @p ended backend servers while they run. Returns how many were answered.
    int sendBesideEnds(const std::string &node, int ended)
    {
        std::atomic<int> answered{0};
        std::vector<std::jthread> callers;
        callers.reserve(copies);
        for (int i = 0; i < copies; ++i) {
            callers.emplace_back([&, i] { answered += send(node, node + "-beside-" + std::to_string(i)).status == 200 ? 1 : 0; });
        }
        std::this_thread::sleep_for(runTime / 2);
        for (int i = 0; i < ended; ++i) {
            deployment.killBackend(nameOf(i));
        }
        callers.clear();
        return answered;
    }

    void expectServed(const std::string &node)
    {
        for (int i = 0; i < 4; ++i) {
            const HttpReply reply = send(node, node + "-after-" + std::to_string(i));
            EXPECT_EQ(reply.status, 200) << node << " " << fieldOf(reply.fields, "Agatedoor-Reason");
        }
    }

    Deployment deployment;
};

} // namespace

/// Guards against the lock-out of a sound request: its copies that ran on other backend servers when some ended were answered, but these answers
/// didn't count for it.
TEST_F(SoundRequests, AreServedOnWhenSomeBackendServersEndBesideThem)
{
    section("the copies on the backend servers that live are answered", [&] { EXPECT_GE(sendBesideEnds("ingress0", 3), copies / 4); });
    std::this_thread::sleep_for(toldWithin);
    section("so the request is served on, by the node that saw it and by the other", [&] {
        expectServed("ingress0");
        expectServed("ingress1");
    });
}

/// Guards against the lock-out of a sound request beside which a whole service was lost, so that nothing could be answered: it was refused for
/// ten minutes.
TEST_F(SoundRequests, AreServedAgainSecondsAfterTheLossOfAWholeService)
{
    section("at first the request is served", [&] { expectServed("ingress0"); });
    section("then the whole service is lost beside it, and it is refused", [&] {
        sendBesideEnds("ingress0", owners);
        std::this_thread::sleep_for(toldWithin);
        EXPECT_EQ(fieldOf(send("ingress0", "refused").fields, "Agatedoor-Reason"), "ends-backends");
    });
    for (int i = 0; i < owners; ++i) {
        startBackend(i);
    }
    const auto backAt = SteadyClock::now();
    int refused = 0;
    section("seconds after the backend servers are back it is tried, and served", [&] {
        const auto isServed = [&] {
            const bool served = send("ingress0", "again-" + std::to_string(refused)).status == 200;
            refused += served ? 0 : 1;
            return served;
        };
        EXPECT_TRUE(eventually(isServed, servedAgainWithin));
    });
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - backAt).count();
    std::printf("served again after %ld ms, %d refused before\n", static_cast<long>(milliseconds), refused);
    std::this_thread::sleep_for(toldWithin);
    section("by the other node too", [&] {
        expectServed("ingress0");
        expectServed("ingress1");
    });
}

} // namespace agatedoor::test
