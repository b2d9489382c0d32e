#include "agatedoor/wire/base64.hpp"
#include "agatedoor/wire/peer_transport.hpp"
#include "support/deployment.hpp"
#include "support/story.hpp"

#include <algorithm>
#include <csignal>
#include <future>
#include <map>

namespace agatedoor::test {

namespace {

namespace json = boost::json;
using std::chrono::seconds;

constexpr seconds joinBound{5};
constexpr seconds drainBound{3};
constexpr seconds deathBound{10};
constexpr seconds configBound{13};
constexpr seconds rejoinBound{30};
const std::string exampleBundle = "examples/deployments/statens_takstolsverk.toml";

std::int64_t figure(const Deployment &deployment, const std::string &node, std::string_view name)
{
    const json::object dump = deployment.dump(node);
    const json::value *fleet = dump.if_contains("fleet");
    return fleet == nullptr ? -1 : fleet->as_object().at(name).to_number<std::int64_t>();
}

std::int64_t generationAt(const Deployment &deployment, const std::string &node)
{
    const json::object dump = deployment.dump(node);
    return dump.contains("bundle") ? dump.at("bundle").as_object().at("generation").to_number<std::int64_t>() : -1;
}

/// Service under which @p node sees a backend server that may get new work; empty when it doesn't.
std::string serviceSeen(const Deployment &deployment, const std::string &node, const std::string &backend)
{
    const json::object dump = deployment.dump(node);
    if (!dump.contains("services")) {
        return "no dump";
    }
    for (const auto &[service, entries] : dump.at("services").as_object()) {
        for (const auto &entry : entries.as_array()) {
            if (entry.as_object().at("backend").as_string() == backend && !entry.as_object().at("draining").as_bool()) {
                return service;
            }
        }
    }
    return "";
}

/// Eight nodes in two regions with two zones each, n1 to n8, each with a backend server b1 to b8.
struct EightNodes
{
    Deployment deployment;
    std::vector<std::string> names;

    EightNodes()
    {
        deployment.startStore();
        deployment.rollOut(exampleBundle);
        for (int i = 1; i <= 8; ++i) {
            names.push_back("n" + std::to_string(i));
            start(names.back());
        }
        for (const auto &name : names) {
            startBackend(name, "besiktning");
        }
        deployment.waitUntilReady(names.size());
    }

    void start(const std::string &name, const std::vector<std::string> &seeds = {})
    {
        const int number = name.back() - '1';
        const std::string region = number < 4 ? "north" : "south";
        deployment.startNode({name, region + std::to_string(number % 2), region, false, seeds});
    }

    void startBackend(const std::string &node, const std::string &service) { deployment.startBackend({"b" + node.substr(1), node, service}); }

    bool everywhere(const std::function<bool(const std::string &)> &holds, seconds bound, const std::string &but = {}) const
    {
        return eventually([&] { return std::all_of(names.begin(), names.end(), [&](const auto &name) { return name == but || holds(name); }); }, bound);
    }

    bool goneEverywhere(const std::string &backend, seconds bound, const std::string &but = {}) const
    {
        return everywhere([&](const auto &name) { return serviceSeen(deployment, name, backend).empty(); }, bound, but);
    }

    bool seenEverywhere(const std::string &backend, const std::string &service, seconds bound) const
    {
        return everywhere([&](const auto &name) { return serviceSeen(deployment, name, backend) == service; }, bound);
    }
};

std::int64_t storeCalls(const Deployment &deployment)
{
    std::int64_t sum = 0;
    const auto reply = ask(parseEndpoint(deployment.storeAddress()).value(), {"GET", "/stand-in/calls", {}, {}});
    const json::value calls = json::parse(reply.body);
    for (const auto &[call, count] : calls.as_object()) {
        sum += count.to_number<std::int64_t>();
    }
    return sum;
}

} // namespace

TEST(MembershipProcess, NodesComeAndGo)
{
    EightNodes fleet;
    Deployment &deployment = fleet.deployment;
    section("a backend server that leaves gets no new work anywhere", [&] {
        deployment.backend("b1").signal(SIGTERM);
        EXPECT_TRUE(fleet.goneEverywhere("b1", drainBound));
    });
    section("a node that stops gracefully is gone everywhere", [&] {
        deployment.node("n2").signal(SIGTERM);
        EXPECT_TRUE(fleet.goneEverywhere("b2", drainBound, "n2"));
        EXPECT_EQ(deployment.node("n2").waitForExit(seconds(10)), 0);
        EXPECT_TRUE(fleet.everywhere([&](const auto &name) { return figure(deployment, name, "members") == 7; }, drainBound, "n2"));
    });
    section("it starts again with another service", [&] {
        deployment.kill("n2");
        fleet.start("n2");
        fleet.startBackend("n2", "ritarkiv");
        EXPECT_TRUE(fleet.seenEverywhere("b2", "ritarkiv", joinBound));
    });
    section("a killed node is gone everywhere", [&] {
        deployment.node("n7").signal(SIGKILL);
        EXPECT_TRUE(fleet.goneEverywhere("b7", deathBound, "n7"));
    });
    section("a stopped process is gone everywhere, and back once it runs on", [&] {
        deployment.node("n4").signal(SIGSTOP);
        EXPECT_TRUE(eventually([&] { return serviceSeen(deployment, "n1", "b4").empty(); }, deathBound));
        deployment.node("n4").signal(SIGCONT);
        EXPECT_TRUE(eventually([&] { return serviceSeen(deployment, "n1", "b4") == "besiktning"; }, joinBound));
        EXPECT_TRUE(eventually([&] { return serviceSeen(deployment, "n4", "b1").empty() && serviceSeen(deployment, "n4", "b2") == "ritarkiv"; }, joinBound));
    });
}

TEST(MembershipProcess, TheStoreMayBeDown)
{
    EightNodes fleet;
    Deployment &deployment = fleet.deployment;
    section("a roll-out reaches all nodes though the store goes down once one has it", [&] {
        deployment.rollOut("examples/deployments/statens_takstolsverk.toml");
        const auto anyHasIt
            = [&] { return std::any_of(fleet.names.begin(), fleet.names.end(), [&](const auto &name) { return generationAt(deployment, name) == 2; }); };
        ASSERT_TRUE(eventually(anyHasIt, configBound));
        deployment.storeFaults(R"({"down":true})");
        EXPECT_TRUE(fleet.everywhere([&](const auto &name) { return generationAt(deployment, name) == 2; }, configBound));
    });
    section("a node that starts then gets members and bundle from its seeds and serves", [&] {
        deployment.kill("n3");
        fleet.start("n3", {"n1", "n5"});
        EXPECT_TRUE(eventually([&] { return generationAt(deployment, "n3") == 2 && figure(deployment, "n3", "members") == 8; }, joinBound));
        EXPECT_TRUE(eventually([&] { return ask(deployment.callers("n3"), {"POST", "/besiktning", {}, {}}).status == 200; }, joinBound));
    });
    section("one without seeds refuses as not run and says why", [&] {
        deployment.startNode({"n9", "north0", "north"});
        const HttpReply reply = ask(deployment.callers("n9"), {"POST", "/besiktning", {}, {}});
        EXPECT_EQ(fieldOf(reply.fields, "Agatedoor-Outcome"), "not-run");
        EXPECT_EQ(fieldOf(reply.fields, "Agatedoor-Reason"), "no-bundle");
        EXPECT_EQ(deployment.dump("n9").at("fleet").as_object().at("why_no_bundle").as_string(), "neither-store-nor-peers");
    });
    section("once the store is back it joins by itself", [&] {
        deployment.storeFaults(R"({"down":false})");
        EXPECT_TRUE(eventually([&] { return generationAt(deployment, "n9") == 2 && figure(deployment, "n9", "members") == 9; }, configBound));
    });
}

TEST(MembershipProcess, NodesThatDontWatchTheStoreGetEachBundleFromTheirPeers)
{
    EightNodes fleet;
    Deployment &deployment = fleet.deployment;
    const auto watches = [&](const auto &name) { return deployment.dump(name).at("fleet").as_object().at("store_watcher").as_bool(); };
    const auto watchers = [&] { return std::count_if(fleet.names.begin(), fleet.names.end(), watches); };
    section("two nodes of each region watch, however many there are", [&] {
        std::this_thread::sleep_for(seconds(3)); // Longer than a new selection must last; a watch that was begun before ends with the next roll-out.
        deployment.rollOut(exampleBundle);
        ASSERT_TRUE(eventually([&] { return watchers() == 4; }, configBound));
    });
    section("a roll-out reaches all, and the others call the store for nothing", [&] {
        std::map<std::string, std::int64_t> before;
        for (const auto &name : fleet.names) {
            if (!watches(name) && !deployment.dump(name).at("fleet").as_object().at("store_contact").as_bool()) {
                before[name] = figure(deployment, name, "store_calls");
            }
        }
        deployment.rollOut(exampleBundle);
        EXPECT_TRUE(fleet.everywhere([&](const auto &name) { return generationAt(deployment, name) == 3; }, configBound));
        for (const auto &[name, calls] : before) {
            EXPECT_EQ(figure(deployment, name, "store_calls"), calls) << name;
        }
    });
    section("one reaches the rest of a region whose watchers are all frozen", [&] {
        std::vector<std::string> frozen;
        std::copy_if(fleet.names.begin(), fleet.names.begin() + 4, std::back_inserter(frozen), watches);
        ASSERT_EQ(frozen.size(), 2U);
        for (const auto &name : frozen) {
            deployment.node(name).signal(SIGSTOP);
        }
        deployment.rollOut(exampleBundle);
        const auto isFrozen = [&](const auto &name) { return std::find(frozen.begin(), frozen.end(), name) != frozen.end(); };
        EXPECT_TRUE(fleet.everywhere([&](const auto &name) { return isFrozen(name) || generationAt(deployment, name) == 4; }, configBound));
        for (const auto &name : frozen) {
            deployment.node(name).signal(SIGCONT);
        }
        EXPECT_TRUE(fleet.everywhere([&](const auto &name) { return generationAt(deployment, name) == 4; }, configBound));
    });
}

TEST(MembershipProcess, AGracefulStopCutsNoRequest)
{
    Deployment deployment;
    deployment.startStore();
    deployment.rollOut(exampleBundle);
    deployment.startNode({"n1", "north0", "north"});
    deployment.startNode({"n2", "north0", "north"});
    deployment.startBackend({"b1", "n1", "besiktning", 4, 64, 2'500'000});
    deployment.startBackend({"b2", "n2", "ritarkiv"});
    deployment.waitUntilReady(2);
    const HttpRequest slow{"POST", "/besiktning", {}, {}};
    auto own = std::async(std::launch::async, [&] { return ask(deployment.callers("n1"), slow); });
    auto handedOver = std::async(std::launch::async, [&] { return ask(deployment.callers("n2"), slow); });
    const auto running = [&] {
        const json::object local = deployment.dump("n1");
        return local.at("local_backends").as_object().at("b1").as_object().at("running").to_number<int>() == 2;
    };
    ASSERT_TRUE(eventually(running, seconds(2)));
    deployment.node("n1").signal(SIGTERM);
    section("new requests go elsewhere or are refused as not run", [&] {
        EXPECT_TRUE(eventually([&] { return serviceSeen(deployment, "n2", "b1").empty(); }, drainBound));
        const HttpReply refused = ask(deployment.callers("n2"), slow);
        EXPECT_EQ(fieldOf(refused.fields, "Agatedoor-Outcome"), "not-run");
    });
    section("those in progress are answered, whichever node took them", [&] {
        EXPECT_EQ(own.get().status, 200);
        EXPECT_EQ(handedOver.get().status, 200);
    });
    section("and the node ends", [&] { EXPECT_EQ(deployment.node("n1").waitForExit(seconds(10)), 0); });
}

TEST(MembershipProcess, MassRestartAndDamageAreSurvived)
{
    EightNodes fleet;
    Deployment &deployment = fleet.deployment;
    section("half of the fleet restarts at once", [&] {
        for (const std::string name : {"n5", "n6", "n7", "n8"}) {
            deployment.kill(name);
        }
        for (const std::string name : {"n5", "n6", "n7", "n8"}) {
            fleet.start(name);
            fleet.startBackend(name, "ritarkiv");
        }
        for (const std::string backend : {"b5", "b6", "b7", "b8"}) {
            EXPECT_TRUE(fleet.seenEverywhere(backend, "ritarkiv", rejoinBound)) << backend;
        }
    });
    section("few calls go to the store", [&] {
        const auto before = storeCalls(deployment);
        std::this_thread::sleep_for(seconds(4));
        const auto perSecond = (storeCalls(deployment) - before) / 4;
        EXPECT_LE(perSecond, 12);
    });
    section("bytes that are no message are counted and dropped", [&] {
        const auto transport = PeerTransport::start({deployment.net() + ".200", 8082}, [](const std::string &) {});
        transport.value()->send(deployment.gossip("n1"), "nonsense");
        EXPECT_TRUE(eventually([&] { return figure(deployment, "n1", "malformed_messages") == 1; }, seconds(5)));
        EXPECT_EQ(figure(deployment, "n1", "members"), 8);
    });
    section("a damaged head is refused and the bundle in force stays", [&] {
        const json::object body{{"key", toBase64("/agatedoor/head")}, {"value", toBase64("nonsense")}};
        ask(parseEndpoint(deployment.storeAddress()).value(), {"POST", "/v3/kv/put", {}, json::serialize(body)});
        const auto logged = [&](const auto &name) { return deployment.node(name).output().find("damaged-record") != std::string::npos; };
        EXPECT_TRUE(eventually([&] { return std::any_of(fleet.names.begin(), fleet.names.end(), logged); }, configBound));
        for (const auto &name : fleet.names) {
            EXPECT_EQ(generationAt(deployment, name), 1) << name;
        }
    });
}

} // namespace agatedoor::test
