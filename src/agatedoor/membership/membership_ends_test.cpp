#include "membership_ends.hpp"

#include "agatedoor/state/shared_backend_ends.hpp"
#include "fake_fleet.hpp"
#include "support/story.hpp"

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::FakeFleet;
using test::section;

const ContentDigest deadly{"d0"};

/// A fleet of two regions whose nodes exchange what they know of ends.
struct EndsFleet
{
    explicit EndsFleet(int nodesPerRegion)
    {
        fleet.step = milliseconds(10);
        fleet.answer = [this](test::FakeNode &node, const PeerMessage &message) {
            SharedBackendEnds &known = ends[node.membership.self.node.value];
            known.merge(endsOf(message, fleet.now));
            return announce(node, known).messages;
        };
        for (int i = 0; i < nodesPerRegion; ++i) {
            fleet.start("north-" + std::to_string(i), "north1", "north", "orders", "north-0");
            fleet.start("south-" + std::to_string(i), "south1", "south", "orders", "north-0");
        }
        EXPECT_TRUE(fleet.runUntil([this] { return fleet.agreed(); }, seconds(20)));
    }

    MembershipOutput announce(test::FakeNode &node, SharedBackendEnds &known)
    {
        return announceEnds(node.membership, known.current(fleet.now), known.takeNews(), fleet.now, fleet.random());
    }

    /// An end beside the deadly request is noticed at @p node.
    void noticeEnd(const std::string &node, std::uint64_t id)
    {
        ends[node].recordEnd({id}, deadly, fleet.now);
        fleet.send(node, announce(fleet.nodes.at(node), ends[node]));
    }

    bool allKnow(int count)
    {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto &node) { return ends[node.first].endsBeside(deadly, fleet.now) == count; });
    }

    FakeFleet fleet{32};
    std::map<std::string, SharedBackendEnds> ends;
};

} // namespace

/// Guards against nodes that go on sending a request which has ended backend servers of others.
TEST(MembershipEnds, ReachAllNodesInAFewHundredMilliseconds)
{
    EndsFleet world(20);
    section("ends that different nodes of both regions notice add up everywhere", [&] {
        world.noticeEnd("north-3", 1);
        world.noticeEnd("south-4", 2);
        world.noticeEnd("south-5", 3);
        EXPECT_TRUE(world.fleet.runUntil([&] { return world.allKnow(3); }, milliseconds(500)));
    });
    section("a node that starts later learns them when it joins, also when those that noticed them are gone", [&] {
        world.fleet.nodes.at("north-3").running = false;
        world.ends.erase("north-3");
        world.fleet.nodes.erase("north-3");
        world.fleet.start("late", "south1", "south", "orders", "north-0");
        EXPECT_TRUE(world.fleet.runUntil([&] { return world.ends["late"].endsBeside(deadly, world.fleet.now) == 3; }, seconds(3)));
    });
    section("an answer acquits the request everywhere", [&] {
        world.ends["north-7"].recordAnswer(deadly);
        world.fleet.send("north-7", world.announce(world.fleet.nodes.at("north-7"), world.ends["north-7"]));
        EXPECT_TRUE(world.fleet.runUntil([&] { return world.allKnow(0); }, milliseconds(500)));
    });
}

TEST(MembershipEnds, ReachAllNodesThoughMessagesAreLost)
{
    EndsFleet world(20);
    world.fleet.loss = 0.2;
    world.noticeEnd("north-3", 1);
    EXPECT_TRUE(world.fleet.runUntil([&] { return world.allKnow(1); }, seconds(6))); // The interval of syncs, and one more round.
}

/// Guards against a record that nodes hand to each other for ever.
TEST(MembershipEnds, AreForgottenByAllThoughTheyAreToldOn)
{
    EndsFleet world(2);
    world.noticeEnd("north-0", 1);
    world.fleet.step = milliseconds(100);
    world.fleet.run(BackendEndOptions{}.retention + seconds(1));
    EXPECT_TRUE(world.allKnow(0));
}

} // namespace agatedoor
