#include "agatedoor/membership/membership.hpp"

#include "agatedoor/membership/fleet_view.hpp"
#include "fake_fleet.hpp"
#include "support/story.hpp"

namespace agatedoor {

namespace {

using std::chrono::seconds;
using test::FakeFleet;
using test::section;

constexpr seconds joinBound{3};
constexpr seconds drainBound{3};
constexpr seconds deathBound{10};
constexpr seconds rejoinBound{30};

/// Two regions with two zones of @p perZone nodes each; all join through the first node.
FakeFleet fleetOf(int perZone, std::uint64_t seed = 1)
{
    FakeFleet fleet(seed);
    for (const std::string region : {"north", "south"}) {
        for (const std::string zone : {"1", "2"}) {
            for (int i = 0; i < perZone; ++i) {
                fleet.start(region + zone + "-" + std::to_string(i), region + zone, region, "orders", "north1-0");
            }
        }
    }
    return fleet;
}

FakeFleet settledFleet(int perZone, std::uint64_t seed = 1)
{
    FakeFleet fleet = fleetOf(perZone, seed);
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.agreed(); }, seconds(20)));
    fleet.run(seconds(5));
    return fleet;
}

std::uint64_t versionAt(const FakeFleet &fleet, const std::string &observer, const std::string &member)
{
    return fleet.nodes.at(observer).membership.table.members.at({member}).record.version.value;
}

std::size_t routableAt(const FakeFleet &fleet, const std::string &observer)
{
    const Membership &membership = fleet.nodes.at(observer).membership;
    const NodeLocation here{membership.self.node, membership.self.zone, membership.self.region};
    const auto view = buildView(membership.table, here, {}, fleet.now, membership.heldMembers > 0);
    const auto found = view->services.find({"orders"});
    return found == view->services.end() ? 0 : found->second.size();
}

/// Whether @p observer may route requests to @p backend.
bool servesAt(const FakeFleet &fleet, const std::string &observer, const std::string &backend)
{
    const Membership &membership = fleet.nodes.at(observer).membership;
    const NodeLocation here{membership.self.node, membership.self.zone, membership.self.region};
    const auto view = buildView(membership.table, here, {}, fleet.now);
    const auto &entries = view->services.at({"orders"});
    return std::any_of(entries.begin(), entries.end(), [&backend](const auto &entry) { return entry.backend.value == backend && !entry.draining; });
}

} // namespace

TEST(Membership, JoinsChangesAndLeavesReachEveryNode)
{
    FakeFleet fleet = settledFleet(5);
    section("a node joins through any member", [&] {
        fleet.start("late", "north1", "north", "orders", "south2-3");
        const auto took = fleet.runUntil([&] { return fleet.agreed(); }, joinBound);
        EXPECT_TRUE(took);
    });
    section("a drain reaches every node within its limit", [&] {
        fleet.change("late", [](MemberRecord &self) { self.backends[0].status = BackendStatus::Draining; });
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.agreed(); }, drainBound));
    });
    section("a node that leaves gracefully is seen as left without being suspected first", [&] {
        fleet.leave("late");
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.all("late", MemberStatus::Left); }, drainBound));
    });
}

TEST(Membership, DeadNodesAreDetectedAndFalseSuspicionsRefuted)
{
    FakeFleet fleet = settledFleet(4);
    section("every node declares a killed node dead within the limit", [&] {
        fleet.nodes.at("north1-1").running = false;
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.all("north1-1", MemberStatus::Dead); }, deathBound));
    });
    section("it restarts at the same address with another service", [&] {
        fleet.start("north1-1", "north1", "north", "payments", "north1-0");
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.agreed(); }, joinBound));
    });
    section("a record of an earlier incarnation doesn't replace the current one", [&] {
        PeerMessage old;
        old.from = {"north1-2"};
        old.region = {"north"};
        old.replyTo = FakeFleet::addressOf("north1-2");
        MemberRecord earlier = fleet.nodes.at("north1-1").membership.self;
        earlier.incarnation = {1};
        earlier.version = {99};
        old.updates = {{earlier, MemberStatus::Alive}};
        fleet.inject("south1-0", old);
        EXPECT_TRUE(fleet.agreed());
    });
    section("a paused node refutes its death when it resumes", [&] {
        const auto before = versionAt(fleet, "south1-0", "south2-2");
        fleet.nodes.at("south2-2").paused = true;
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.all("south2-2", MemberStatus::Dead); }, deathBound));
        fleet.run(seconds(60));
        fleet.nodes.at("south2-2").paused = false;
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.agreed(); }, rejoinBound));
        EXPECT_GT(versionAt(fleet, "south1-0", "south2-2"), before);
    });
    section("and suspects no other node because of its pause", [&] {
        fleet.run(seconds(20));
        EXPECT_TRUE(fleet.agreed());
    });
}

TEST(Membership, DeadConnectionsToAnEarlierProcessAreReplaced)
{
    FakeFleet fleet = settledFleet(4);
    fleet.silentRestarts = true;
    const auto knowsOnlyItself = [&fleet] { return fleet.nodes.at("north1-1").membership.table.members.size() == 1; };
    section("a VM loses power, and a new process at its address joins although other members keep dead connections to it", [&] {
        fleet.nodes.at("north1-1").running = false;
        fleet.run(seconds(2));
        fleet.start("north1-1", "north1", "north", "payments", "north1-0");
        EXPECT_TRUE(knowsOnlyItself());
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.agreed(); }, joinBound));
    });
    section("it receives messages from all members, so it suspects none", [&] {
        for (int i = 0; i < 300; ++i) {
            fleet.run(std::chrono::milliseconds(100));
            ASSERT_TRUE(fleet.agreed()) << "after " << i * 100 << " ms";
        }
    });
    section("dead connections between live members are reopened before any member is suspected", [&] {
        fleet.silenceConnectionsTo("south1-1");
        for (int i = 0; i < 300; ++i) {
            fleet.run(std::chrono::milliseconds(100));
            ASSERT_TRUE(fleet.agreed()) << "after " << i * 100 << " ms";
        }
        EXPECT_EQ(fleet.silentConnectionsTo("south1-1"), 0U);
    });
    section("a member with another name at a known address is reached over a new connection", [&] {
        PeerMessage greeting;
        greeting.from = {"newcomer"};
        greeting.region = {"north"};
        greeting.replyTo = FakeFleet::addressOf("north2-0");
        MemberRecord record = fleet.nodes.at("north2-0").membership.self;
        record.node = {"newcomer"};
        greeting.updates = {{record, MemberStatus::Alive}};
        Random random{1};
        const MembershipOutput output = receive(fleet.nodes.at("south1-0").membership, greeting, fleet.now, random);
        EXPECT_EQ(output.connectionsToReopen, std::vector<Endpoint>{record.gossip});
    });
}

TEST(Membership, ARestartedNodeReceivesTheDeparturesItsEarlierProcessAcknowledged)
{
    FakeFleet fleet = settledFleet(4);
    const Departure departure{{"north1-1-backend"}, DepartureStep::Gone, {1000}};
    const auto acknowledge = [&] {
        fleet.change("north1-1", [&](MemberRecord &self) {
            self.backends.clear();
            self.departures = {departure};
        });
        fleet.run(std::chrono::milliseconds(400));
        fleet.nodes.at("north1-1").running = false;
        fleet.run(std::chrono::milliseconds(600));
    };
    const auto announce = [&](std::int64_t born) {
        fleet.change("north1-1", [&](MemberRecord &self) {
            self.backends = {{{"north1-1-backend"}, {"orders"}, {12}, {260}, BackendStatus::Serving, {born}}};
        });
        fleet.run(seconds(2));
    };
    const auto received = [&] { return !fleet.nodes.at("north1-1").departures.empty(); };
    section("from the first member that it syncs with", [&] {
        acknowledge();
        fleet.start("north1-1", "north1", "north", "orders", "south1-0");
        EXPECT_TRUE(fleet.runUntil(received, joinBound));
        EXPECT_EQ(fleet.nodes.at("north1-1").departures.front(), departure);
    });
    section("a backend server process that has left gets no requests, even if the new node process announces it", [&] {
        announce(1000);
        for (const auto &[name, node] : fleet.nodes) {
            EXPECT_EQ(name != "north1-1" && servesAt(fleet, name, "north1-1-backend"), false) << name;
        }
    });
    section("a later process of the backend server gets requests", [&] {
        announce(1001);
        EXPECT_TRUE(servesAt(fleet, "south2-3", "north1-1-backend"));
    });
    section("the departure expires without any further change", [&] {
        announce(1000);
        EXPECT_FALSE(servesAt(fleet, "south2-3", "north1-1-backend"));
        EXPECT_TRUE(fleet.runUntil([&] { return servesAt(fleet, "south2-3", "north1-1-backend"); }, DepartureOptions{}.retention));
    });
    section("a process with a lower incarnation, as after a clock step, receives them with the record of the earlier one", [&] {
        acknowledge();
        fleet.start("north1-1", "north1", "north", "orders", "south1-0", Incarnation{1});
        EXPECT_TRUE(fleet.runUntil(received, joinBound));
        EXPECT_EQ(fleet.nodes.at("north1-1").departures.front(), departure);
    });
}

TEST(Membership, DeparturesOfADeadMemberExpire)
{
    FakeFleet fleet = settledFleet(4);
    const auto hasDeparture = [&] {
        const Membership &membership = fleet.nodes.at("south2-3").membership;
        const NodeLocation here{membership.self.node, membership.self.zone, membership.self.region};
        return buildView(membership.table, here, {}, fleet.now)->departures.contains({"north1-1-backend"});
    };
    fleet.change("north1-1", [](MemberRecord &self) { self.departures = {{{"north1-1-backend"}, DepartureStep::Gone, {1000}}}; });
    ASSERT_TRUE(fleet.runUntil(hasDeparture, drainBound));
    section("not immediately when it dies, because its next process may start", [&] {
        fleet.nodes.at("north1-1").running = false;
        ASSERT_TRUE(fleet.runUntil([&] { return fleet.all("north1-1", MemberStatus::Dead); }, deathBound));
        EXPECT_TRUE(hasDeparture());
    });
    section("but long before its record is removed", [&] {
        EXPECT_TRUE(fleet.runUntil([&] { return !hasDeparture(); }, DepartureOptions{}.retention + seconds(1)));
        EXPECT_EQ(fleet.statusAt("south2-3", "north1-1"), MemberStatus::Dead);
    });
}

TEST(Membership, OneWayPartitionsAndMessageLossCauseNoDeaths)
{
    FakeFleet fleet = settledFleet(4);
    section("no node is declared dead when messages from one member to another are lost", [&] {
        fleet.link = [](const MemberRecord &from, const MemberRecord &to) { return !(from.node.value == "north1-0" && to.node.value == "north1-1"); };
        bool dead = false;
        for (int i = 0; i < 600; ++i) {
            fleet.run(std::chrono::milliseconds(100));
            for (const auto &[name, node] : fleet.nodes) {
                dead = dead || fleet.statusAt(name, "north1-1") == MemberStatus::Dead || fleet.statusAt(name, "north1-0") == MemberStatus::Dead;
            }
        }
        EXPECT_FALSE(dead);
    });
    section("all nodes agree again after a tenth of all messages was lost for two minutes", [&] {
        fleet.link = [](const auto &, const auto &) { return true; };
        fleet.loss = 0.1;
        fleet.run(seconds(120));
        fleet.loss = 0;
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.agreed(); }, seconds(10)));
    });
}

TEST(Membership, RegionsRejoinAfterAnHourOfPartition)
{
    FakeFleet fleet = settledFleet(4);
    const std::size_t everyone = routableAt(fleet, "north1-0");
    section("during the partition, each side declares the other dead but keeps it routable as a last resort for a while", [&] {
        fleet.link = [](const MemberRecord &from, const MemberRecord &to) { return from.region == to.region; };
        fleet.run(seconds(15));
        EXPECT_EQ(fleet.statusAt("north1-0", "south2-1"), MemberStatus::Dead);
        EXPECT_GT(fleet.nodes.at("north1-0").membership.heldMembers, 0U);
        EXPECT_GE(routableAt(fleet, "north1-0"), everyone / 2);
    });
    section("the partition lasts an hour; a node changes in one region and another dies in the other", [&] {
        fleet.run(std::chrono::minutes(58));
        EXPECT_EQ(routableAt(fleet, "north1-0"), everyone / 2);
        fleet.change("south1-0", [](MemberRecord &self) { self.backends[0].slots = {9}; });
        fleet.nodes.at("north2-0").running = false;
        fleet.run(std::chrono::minutes(1));
    });
    section("after the partition heals, all nodes agree", [&] {
        fleet.link = [](const auto &, const auto &) { return true; };
        EXPECT_TRUE(fleet.runUntil([&] { return fleet.agreed(); }, rejoinBound));
    });
}

TEST(Membership, AMassRestartConvergesWithinTheByteBudget)
{
    FakeFleet fleet = settledFleet(30);
    for (auto &[name, node] : fleet.nodes) {
        node.bytes = 0;
    }
    for (int i = 0; i < 30; ++i) {
        fleet.start("north2-" + std::to_string(i), "north2", "north", "orders", "north1-" + std::to_string(i % 3));
    }
    const auto took = fleet.runUntil([&] { return fleet.agreed(); }, rejoinBound);
    ASSERT_TRUE(took);
    fleet.run(seconds(60) - *took);
    for (const auto &[name, node] : fleet.nodes) {
        EXPECT_LT(node.bytes, 20'000U * 60) << name;
    }
}

TEST(Membership, SyncRepliesStayWithinTheByteBudget)
{
    FakeFleet fleet(9);
    fleet.start("asked", "z", "r", "orders");
    for (int i = 0; i < 1300; ++i) {
        MemberRecord member = fleet.nodes.at("asked").membership.self;
        member.node = {"member-with-a-long-name-" + std::to_string(i)};
        mergeMember(fleet.nodes.at("asked").membership.table, member);
    }
    PeerMessage request;
    request.kind = PeerMessageKind::SyncRequest;
    request.region = {"r"};
    request.buckets.assign(digestBuckets, 0);
    for (int i = 0; i < 500; ++i) {
        request.from = {"asking-" + std::to_string(i)};
        request.replyTo = FakeFleet::addressOf(request.from.value);
        fleet.inject("asked", request);
    }
    const auto &options = fleet.options;
    EXPECT_LT(fleet.nodes.at("asked").bytes, options.budget.burst + 2.0 * static_cast<double>(options.maxSyncBytes));
}

TEST(Membership, SeparatelyStartedGroupsMergeSoon)
{
    FakeFleet fleet(5);
    for (const std::string group : {"a", "b", "c"}) {
        for (int i = 0; i < 4; ++i) {
            fleet.start(group + std::to_string(i), "z", "r", "orders", group + "0");
        }
    }
    fleet.run(seconds(2));
    addContacts(fleet.nodes.at("a0").membership, {FakeFleet::addressOf("b0")});
    addContacts(fleet.nodes.at("b0").membership, {FakeFleet::addressOf("c0")});
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.agreed(); }, joinBound));
}

TEST(Membership, MembersReportedDeadAllAtOnceStayRoutable)
{
    FakeFleet fleet = settledFleet(4);
    PeerMessage falseReport;
    falseReport.from = {"south1-0"};
    falseReport.region = {"south"};
    falseReport.replyTo = FakeFleet::addressOf("south1-0");
    for (const auto &[name, node] : fleet.nodes) {
        if (name != "north1-0") {
            falseReport.updates.push_back({node.membership.self, MemberStatus::Dead});
        }
    }
    section("a node that receives a false report of all other members' death keeps them routable", [&] {
        fleet.inject("north1-0", falseReport);
        fleet.run(std::chrono::milliseconds(50));
        EXPECT_EQ(routableAt(fleet, "north1-0"), fleet.nodes.size());
    });
    section("and they refute the report", [&] { EXPECT_TRUE(fleet.runUntil([&] { return fleet.agreed(); }, rejoinBound)); });
}

TEST(Membership, DeadMembersAreRemovedFromTheTableAfterForgetAfter)
{
    FakeFleet fleet(1);
    fleet.options.forgetAfter = std::chrono::minutes(2);
    for (const std::string name : {"a", "b", "c", "d"}) {
        fleet.start(name, "z", "r", "orders", "a");
    }
    fleet.run(seconds(10));
    fleet.nodes.at("d").running = false;
    fleet.run(seconds(60));
    EXPECT_EQ(fleet.nodes.at("a").membership.table.members.count({"d"}), 1U);
    fleet.run(seconds(120));
    for (const std::string name : {"a", "b", "c"}) {
        EXPECT_EQ(fleet.nodes.at(name).membership.table.members.count({"d"}), 0U) << name;
    }
}

/// If the clock went back before a restart, the record of the earlier process has the greater incarnation.
TEST(Membership, ANodeRefutesARecordOfItselfWithAGreaterIncarnation)
{
    FakeFleet fleet = settledFleet(2);
    MemberRecord ahead = fleet.nodes.at("north1-1").membership.self;
    ahead.incarnation = {1'000'000};
    PeerMessage message;
    message.from = {"south1-0"};
    message.region = {"south"};
    message.replyTo = FakeFleet::addressOf("south1-0");
    message.updates = {{ahead, MemberStatus::Alive}};
    fleet.inject("south1-1", message);
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.agreed(); }, rejoinBound));
    EXPECT_GT(fleet.nodes.at("north1-1").membership.self.incarnation.value, 1'000'000U);
}

TEST(PeerMessage, MalformedBytesAreRefused)
{
    PeerMessage message;
    message.from = {"a"};
    MemberRecord other;
    other.node = {"b"};
    message.updates = {{other, MemberStatus::Suspect}};
    const std::string bytes = encodePeerMessage(message);
    EXPECT_TRUE(decodePeerMessage(bytes));
    EXPECT_FALSE(decodePeerMessage(bytes.substr(0, bytes.size() - 1)));
    EXPECT_FALSE(decodePeerMessage("nonsense"));
    EXPECT_FALSE(decodePeerMessage(""));
}

} // namespace agatedoor
