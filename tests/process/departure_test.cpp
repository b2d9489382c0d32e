#include "support/deployment.hpp"
#include "support/story.hpp"

#include <chrono>

/// @brief Backend servers that leave, told by real processes of a node that restarts, with the store away.
namespace agatedoor::test {

namespace {

namespace json = boost::json;
using std::chrono::seconds;

constexpr seconds spreadBound{3};
constexpr seconds joinBound{5};

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Three nodes without backend servers; announcements are made by hand.
struct ThreeNodes
{
    Deployment deployment;

    ThreeNodes()
    {
        deployment.startStore();
        deployment.rollOut("examples/deployments/statens_takstolsverk.toml");
        for (const std::string name : {"n1", "n2", "n3"}) {
            deployment.startNode({name, "north0", "north"});
        }
        deployment.waitUntilReady(0);
    }

    int announce(const std::string &node, const std::string &backend, std::int64_t born, std::int64_t sequence) const
    {
        const json::object body{{"service", "besiktning"}, {"address", deployment.net() + ".250:9000"}, {"slots", 4}, {"born", born}, {"sequence", sequence}};
        return ask(deployment.backendsOf(node), {"PUT", "/v1/backends/" + backend, {}, json::serialize(body)}).status;
    }

    int withdraw(const std::string &node, const std::string &backend) const
    {
        return ask(deployment.backendsOf(node), {"DELETE", "/v1/backends/" + backend, {}, {}}).status;
    }

    int drain(const std::string &node, const std::string &backend) const
    {
        return ask(deployment.backendsOf(node), {"POST", "/v1/backends/" + backend + "/drain", {}, {}}).status;
    }

    /// Status word of @p backend at its node; empty when the node doesn't know it.
    std::string statusAt(const std::string &node, const std::string &backend) const
    {
        const HttpReply reply = ask(deployment.backendsOf(node), {"GET", "/v1/backends/" + backend, {}, {}});
        return reply.status == 200 ? std::string(json::parse(reply.body).as_object().at("status").as_string()) : std::string();
    }

    bool departureSeen(const std::string &node, const std::string &backend) const
    {
        const json::object dump = deployment.dump(node);
        return dump.contains("departures") && dump.at("departures").as_object().contains(backend);
    }
};

} // namespace

TEST(DepartureProcess, AnAcknowledgedLeaveBindsALateAnnouncement)
{
    const ThreeNodes fleet;
    const std::int64_t born = unixMilliseconds() - 20'000;
    section("of a backend server that its node doesn't know", [&] {
        EXPECT_EQ(fleet.withdraw("n1", "unknown"), 200);
        EXPECT_EQ(fleet.announce("n1", "unknown", born, 13), 200);
        EXPECT_EQ(fleet.statusAt("n1", "unknown"), "");
    });
    section("drained without being known, it is known as draining", [&] {
        EXPECT_EQ(fleet.drain("n1", "drained"), 200);
        EXPECT_EQ(fleet.announce("n1", "drained", born, 13), 200);
        EXPECT_EQ(fleet.statusAt("n1", "drained"), "draining");
    });
    section("a later life under the same id serves", [&] {
        EXPECT_EQ(fleet.announce("n1", "unknown", unixMilliseconds() + 1, 1), 200);
        EXPECT_EQ(fleet.statusAt("n1", "unknown"), "serving");
    });
}

TEST(DepartureProcess, TheNextProcessAndOtherNodesAreBoundWhileTheStoreIsAway)
{
    ThreeNodes fleet;
    Deployment &deployment = fleet.deployment;
    const std::int64_t born = unixMilliseconds() - 20'000;
    section("a backend server is withdrawn, and the fleet knows", [&] {
        ASSERT_EQ(fleet.announce("n1", "b1", born, 14), 200);
        ASSERT_EQ(fleet.withdraw("n1", "b1"), 200);
        ASSERT_TRUE(eventually([&] { return fleet.departureSeen("n2", "b1") && fleet.departureSeen("n3", "b1"); }, spreadBound));
    });
    section("its announcement comes late to another node", [&] {
        EXPECT_EQ(fleet.announce("n3", "b1", born, 13), 200);
        EXPECT_EQ(fleet.statusAt("n3", "b1"), "");
    });
    section("the node is killed and starts again while the store is away", [&] {
        deployment.storeFaults(R"({"down":true})");
        deployment.kill("n1");
        deployment.startNode({"n1", "north0", "north"});
        EXPECT_TRUE(eventually([&] { return fleet.departureSeen("n1", "b1"); }, joinBound));
    });
    section("its next process refuses the late announcement", [&] {
        EXPECT_EQ(fleet.announce("n1", "b1", born, 13), 200);
        EXPECT_EQ(fleet.statusAt("n1", "b1"), "");
    });
    section("and takes a later life", [&] {
        EXPECT_EQ(fleet.announce("n1", "b1", unixMilliseconds(), 1), 200);
        EXPECT_EQ(fleet.statusAt("n1", "b1"), "serving");
    });
}

} // namespace agatedoor::test
