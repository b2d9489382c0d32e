#include "fake_fleet.hpp"
#include "support/golden.hpp"
#include "support/story.hpp"

#include <rapidcheck.h>

#include <array>
#include <sstream>

namespace agatedoor {

namespace {

using std::chrono::seconds;
using test::FakeFleet;

/// Events injected into the simulated fleet.
enum class Fault {
    Kill,
    Restart,
    Pause,
    Resume,
    CutRegion,
    CutOneWay,
    Heal,
    Change,
    Leave,
    LoseMessages,
};

constexpr std::array faults{Fault::Kill,      Fault::Restart, Fault::Pause,  Fault::Resume, Fault::CutRegion,
                            Fault::CutOneWay, Fault::Heal,    Fault::Change, Fault::Leave,  Fault::LoseMessages};

constexpr int nodeCount = 9;
constexpr std::array<const char *, 3> zones{"north1", "north2", "south1"};

std::string nameOf(int node)
{
    return "n" + std::to_string(node);
}

void startNode(FakeFleet &fleet, int node, const std::string &contact)
{
    const std::string zone = zones.at(static_cast<std::size_t>(node) % zones.size());
    fleet.start(nameOf(node), zone, zone.substr(0, zone.size() - 1), "orders", contact);
}

void injectFault(FakeFleet &fleet, Fault fault, int target)
{
    test::FakeNode &node = fleet.nodes.at(nameOf(target));
    const std::string name = nameOf(target);
    const bool active = node.running && !node.paused;
    switch (fault) {
    case Fault::Kill:
        node.running = false;
        break;
    case Fault::Restart:
        startNode(fleet, target, nameOf((target + 1) % nodeCount));
        break;
    case Fault::Pause:
        node.paused = node.running;
        break;
    case Fault::Resume:
        node.paused = false;
        break;
    case Fault::CutRegion:
        fleet.link = [](const auto &from, const auto &to) { return from.region == to.region; };
        break;
    case Fault::CutOneWay:
        fleet.link = [name](const auto &from, const auto &) { return from.node.value != name; };
        break;
    case Fault::Heal:
        fleet.link = [](const auto &, const auto &) { return true; };
        fleet.loss = 0;
        break;
    case Fault::Change:
        if (active) {
            fleet.change(name, [](MemberRecord &self) { self.backends[0].slots = {self.backends[0].slots.value + 1}; });
        }
        break;
    case Fault::Leave:
        if (active) {
            fleet.leave(name);
        }
        break;
    case Fault::LoseMessages:
        fleet.loss = 0.2;
        break;
    }
}

/// First running node other than @p node; empty when there is none.
std::string otherRunningNode(const FakeFleet &fleet, const std::string &node)
{
    for (const auto &[name, other] : fleet.nodes) {
        if (other.running && name != node) {
            return name;
        }
    }
    return {};
}

/// Gives an isolated node the address of a running one, as the store does. Other nodes don't try to reach a node that has
/// left, so if the only contact of its next process is dead, the protocol alone can't reconnect it.
void addContactsToIsolatedNodes(FakeFleet &fleet)
{
    for (auto &[name, node] : fleet.nodes) {
        const std::string contact = otherRunningNode(fleet, name);
        if (node.running && !contact.empty() && presentMembers(node.membership).size() == 1) {
            addContacts(node.membership, {FakeFleet::addressOf(contact)});
        }
    }
}

/// By observer and member: incarnation of the observer, and incarnation and version of the member as last seen.
using LastSeen = std::map<std::pair<std::string, NodeId>, std::tuple<Incarnation, Incarnation, std::uint64_t>>;

/// True when no observer replaced a member's record by an older one; a restarted observer is compared from its restart on.
bool recordsAreMonotonic(const FakeFleet &fleet, LastSeen &lastSeen)
{
    bool monotonic = true;
    for (const auto &[name, node] : fleet.nodes) {
        for (const auto &[member, entry] : node.membership.table.members) {
            const std::tuple current{node.membership.self.incarnation, entry.record.incarnation, entry.record.version.value};
            auto &before = lastSeen[{name, member}];
            const bool sameObserver = std::get<0>(before) == std::get<0>(current);
            monotonic = monotonic && (!sameObserver || current >= before);
            before = current;
        }
    }
    return monotonic;
}

/// True when the digests of all running nodes are equal.
bool equalDigests(const FakeFleet &fleet)
{
    std::optional<TableDigest> first;
    for (const auto &[name, node] : fleet.nodes) {
        if (node.running && !node.paused) {
            const TableDigest digest = digestOf(node.membership.table);
            first = first.value_or(digest);
            if (*first != digest) {
                return false;
            }
        }
    }
    return true;
}

/// One line with the status, incarnation and version of every member as seen by @p observer.
std::string statusLine(const FakeFleet &fleet, const std::string &observer)
{
    std::ostringstream text;
    text << observer << ":";
    for (const auto &[member, entry] : fleet.nodes.at(observer).membership.table.members) {
        text << " " << member.value << "=" << wireName(entry.status) << "/" << entry.record.incarnation.value << "." << entry.record.version.value;
    }
    return text.str();
}

std::string statusLines(const FakeFleet &fleet)
{
    std::string text;
    for (const auto &[name, node] : fleet.nodes) {
        text += node.running && !node.paused ? statusLine(fleet, name) + "\n" : name + " doesn't run\n";
    }
    return text;
}

/// Runs the fleet for @p time and returns a log of all status changes, each with the milliseconds since the start.
std::string sessionLog(FakeFleet &fleet, const std::string &title, Duration time)
{
    std::string text = "== " + title + "\n";
    std::string before = statusLines(fleet);
    const TimePoint start = fleet.now;
    while (fleet.now - start < time) {
        fleet.run(std::chrono::milliseconds(50));
        const std::string current = statusLines(fleet);
        if (current != before) {
            text += "-- after " + std::to_string(inMicroseconds(fleet.now - start).count() / 1000) + " ms\n" + current;
            before = current;
        }
    }
    return text;
}

FakeFleet threeNodes()
{
    FakeFleet fleet(7);
    fleet.start("a", "north1", "north", "orders");
    fleet.start("b", "north1", "north", "orders", "a");
    fleet.start("c", "south1", "south", "orders", "a");
    return fleet;
}

} // namespace

TEST(MembershipProperty, AllNodesAgreeAfterAnySequenceOfFaults)
{
    const bool passed = rc::check("all nodes agree after any sequence of faults", [] {
        FakeFleet fleet(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
        LastSeen lastSeen;
        for (int node = 0; node < nodeCount; ++node) {
            startNode(fleet, node, nameOf(0));
        }
        fleet.run(seconds(3));
        const int steps = *rc::gen::inRange(1, 15);
        for (int step = 0; step < steps; ++step) {
            injectFault(fleet, faults.at(*rc::gen::inRange<std::size_t>(0, faults.size())), *rc::gen::inRange(0, nodeCount));
            for (int i = *rc::gen::inRange(1, 30); i > 0; --i) {
                fleet.run(std::chrono::milliseconds(500));
                RC_ASSERT(recordsAreMonotonic(fleet, lastSeen));
            }
        }
        injectFault(fleet, Fault::Heal, 0);
        for (auto &[name, node] : fleet.nodes) {
            node.paused = false;
        }
        addContactsToIsolatedNodes(fleet);
        RC_ASSERT(fleet.runUntil([&] { return fleet.agreed() && equalDigests(fleet); }, seconds(90)).has_value());
        fleet.run(seconds(30));
        RC_ASSERT(fleet.agreed());
        RC_ASSERT(recordsAreMonotonic(fleet, lastSeen));
    });
    EXPECT_TRUE(passed);
}

TEST(MembershipGolden, JoinKillRestartAndLeave)
{
    FakeFleet fleet = threeNodes();
    std::string text = sessionLog(fleet, "three nodes join by a", seconds(3));
    fleet.nodes.at("b").running = false;
    text += sessionLog(fleet, "b is killed", seconds(12));
    fleet.start("b", "north1", "north", "payments", "a");
    text += sessionLog(fleet, "b starts again", seconds(6));
    fleet.leave("b");
    text += sessionLog(fleet, "b leaves", seconds(6));
    test::expectGolden("membership_join_death_return.txt", text);
}

TEST(MembershipGolden, PauseAndRefutation)
{
    FakeFleet fleet = threeNodes();
    fleet.run(seconds(5));
    fleet.nodes.at("c").paused = true;
    std::string text = sessionLog(fleet, "c is paused", seconds(15));
    fleet.nodes.at("c").paused = false;
    text += sessionLog(fleet, "c runs on", seconds(10));
    fleet.link = [](const auto &from, const auto &to) { return from.region == to.region; };
    text += sessionLog(fleet, "the regions are apart", seconds(15));
    fleet.link = [](const auto &, const auto &) { return true; };
    text += sessionLog(fleet, "and together again", seconds(20));
    test::expectGolden("membership_pause_refutation.txt", text);
}

} // namespace agatedoor
