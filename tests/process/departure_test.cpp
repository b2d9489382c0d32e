#include "support/deployment.hpp"
#include "support/story.hpp"

#include <chrono>

/// @brief Backend servers that leave, told by real processes.
namespace agatedoor::test {

namespace {

namespace json = boost::json;

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

} // namespace agatedoor::test
