#include "agatedoor/membership/bundle_exchange.hpp"

#include "fake_fleet.hpp"
#include "support/story.hpp"

#include <iostream>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::FakeNode;
using test::section;

constexpr int nodeCount = 38;
constexpr int watcherCount = 6;
constexpr int routeCount = 1'400;
constexpr seconds inForceBound{3}; ///< From the moment at which a watcher can have a version.
constexpr double tenMegabits = 10e6 / 8; ///< Bytes per second.

/// Text of a configuration with many routes; generations differ in the weight of one route.
std::string configurationText(std::uint64_t generation)
{
    Random random{7};
    std::string text = R"({"version":"r)" + std::to_string(generation) + R"(","routes":{)";
    for (int i = 0; i < routeCount; ++i) {
        const std::string name = randomHex(random).substr(0, 9);
        text += '"' + name + R"(":{"host":"leny)" + std::to_string(i % 40) + R"(.example","prefix":"/)" + name
            + R"(/","service":"catalogue","kind":"safe","maxAttempts":3,"timeoutMs":1500,"aimMs":600,"priority":1,"weight":)"
            + std::to_string(i == 700 ? generation : 1) + "},";
    }
    return text + "}}";
}

BundleInForce configuration(std::uint64_t generation)
{
    BundleInForce bundle;
    bundle.text = configurationText(generation);
    bundle.head.generation = {generation};
    bundle.head.digest = digestOf(bundle.text);
    return bundle;
}

/// The region without the store: its watchers are given each version, the others get it from their peers.
class Region
{
public:
    explicit Region(std::uint64_t seed)
        : m_fleet(seed)
    {
        m_fleet.step = milliseconds(10);
        m_fleet.answer = [this](FakeNode &node, const PeerMessage &message) { return exchange(node, message); };
        for (int i = 0; i < nodeCount; ++i) {
            m_fleet.start(nameOf(i), i % 2 == 0 ? "south-a" : "south-b", "south", "service", i == 0 ? "" : nameOf(0));
            m_state[nameOf(i)].exchange = startBundleExchange({}, m_fleet.now);
        }
        m_fleet.run(seconds(8));
        m_fleet.linkBytesPerSecond = tenMegabits;
    }

    static std::string nameOf(int number) { return "n" + std::to_string(number); }

    test::FakeFleet &fleet() { return m_fleet; }

    /// The watchers have read @p generation from the store.
    void publish(std::uint64_t generation)
    {
        const BundleInForce bundle = configuration(generation);
        for (int i = 0; i < watcherCount; ++i) {
            apply(m_fleet.nodes.at(nameOf(i)), bundle);
        }
    }

    Generation oldest() const
    {
        Generation least{~0ULL};
        for (const auto &[name, state] : m_state) {
            least = std::min(least, state.inForce.head.generation);
        }
        return least;
    }

private:
    struct State
    {
        BundleExchange exchange;
        BundleInForce inForce;
    };

    void apply(FakeNode &node, const BundleInForce &bundle)
    {
        State &state = m_state.at(node.membership.self.node.value);
        if (bundle.head.generation > state.inForce.head.generation) {
            state.inForce = bundle;
            m_fleet.send(node.membership.self.node.value, announceGeneration(node.membership, bundle.head.generation, m_fleet.now, m_fleet.random()));
        }
    }

    std::vector<Outgoing> exchange(FakeNode &node, const PeerMessage &message)
    {
        State &state = m_state.at(node.membership.self.node.value);
        std::vector<Outgoing> outgoing;
        if (message.kind == PeerMessageKind::BundleRequest) {
            auto answer = answerBundleRequest(state.exchange, message, state.inForce, node.membership.self, m_fleet.now);
            if (answer && answer->withinBudget) {
                outgoing.push_back({message.replyTo, PeerMessageKind::BundleReply, std::move(answer->bytes)});
            }
        }
        if (message.kind == PeerMessageKind::BundleReply) {
            apply(node, {message.head, message.text, {}});
        }
        const auto request = requestBundle(state.exchange, message, state.inForce, node.membership, m_fleet.now);
        if (request) {
            outgoing.push_back({message.replyTo, request->kind, encodePeerMessage(*request)});
        }
        return outgoing;
    }

    test::FakeFleet m_fleet;
    std::map<std::string, State> m_state;
};

} // namespace

/// Guards against confirmed configurations that come late where links are narrow and each change carries the whole text.
TEST(BundleExchange, AStormOfChangesOfALargeConfigurationIsInForceInTime)
{
    constexpr std::uint64_t changes = 12;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Region region(seed);
        std::vector<TimePoint> publishedAt;
        Duration longest{};
        const auto runFor = [&](Duration time) {
            const TimePoint end = region.fleet().now + time;
            while (region.fleet().now < end) {
                region.fleet().run(milliseconds(50));
                const auto oldest = region.oldest().value;
                if (oldest < publishedAt.size()) {
                    longest = std::max(longest, region.fleet().now - publishedAt[oldest]);
                }
            }
        };
        for (std::uint64_t generation = 1; generation <= changes; ++generation) {
            region.publish(generation);
            publishedAt.push_back(region.fleet().now);
            runFor(seconds(1));
        }
        runFor(inForceBound);
        EXPECT_LE(longest, inForceBound) << "seed " << seed;
        EXPECT_EQ(region.oldest().value, changes) << "seed " << seed;
        std::cout << "seed " << seed << ": the last node has a version " << inMicroseconds(longest).count() / 1000 << " ms after the watchers\n";
    }
}

} // namespace agatedoor
