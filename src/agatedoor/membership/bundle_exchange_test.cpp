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
    std::string text = "generation = " + std::to_string(generation) + "\n";
    for (int i = 0; i < routeCount; ++i) {
        const std::string name = randomHex(random).substr(0, 9);
        text.append("[routes.").append(name).append("]\nhost = \"catalogue-").append(std::to_string(i % 40));
        text.append(".example\"\nprefix = \"/").append(name).append("/\"\nservice = \"catalogue\"\nidempotent = true\nattempts = 3\n");
        text.append("timeout = 1500\npriority = \"high\"\nweight = ").append(std::to_string(i == 700 ? generation : 1)).append("\n");
    }
    return text;
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
            recordInForce(state.exchange, bundle);
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
            const auto text = textOf(state.exchange, message);
            EXPECT_EQ(digestOf(text.value_or("")), message.head.digest);
            apply(node, {message.head, text.value_or(""), {}});
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
        std::cout << "seed " << seed << ": the last node has a version at most " << inMicroseconds(longest).count() / 1000 << " ms after the watchers\n";
    }
}

TEST(BundleExchange, AReplyCarriesWhatThePeerCanRead)
{
    const TimePoint now{seconds(1'000)};
    MemberRecord self;
    self.node = {"a"};
    MemberRecord other;
    other.node = {"b"};
    const BundleInForce older = configuration(1);
    const BundleInForce newer = configuration(2);
    BundleExchange sender = startBundleExchange({}, now);
    recordInForce(sender, older);
    recordInForce(sender, newer);
    BundleExchange receiver = startBundleExchange({}, now);
    recordInForce(receiver, older);
    PeerMessage request;
    request.from = {"b"};
    request.generation = {1};
    request.head = older.head;
    request.readsPackedText = true;
    const auto replyTo = [&](const PeerMessage &asked) { return decodePeerMessage(answerBundleRequest(sender, asked, newer, self, now)->bytes).value(); };

    section("a node that has an earlier bundle gets the difference", [&] {
        const PeerMessage reply = replyTo(request);
        EXPECT_LT(reply.packedText.size(), 1'000U);
        EXPECT_EQ(textOf(receiver, reply), newer.text);
    });
    section("one without a bundle, or with one that the sender doesn't know, gets the whole text, compressed", [&] {
        PeerMessage first = request;
        first.head = {};
        EXPECT_EQ(textOf(startBundleExchange({}, now), replyTo(first)), newer.text);
        first.head.digest = {"unknown"};
        const PeerMessage reply = replyTo(first);
        EXPECT_EQ(textOf(startBundleExchange({}, now), reply), newer.text);
        EXPECT_LT(reply.packedText.size(), newer.text.size() / 4);
    });
    section("a node of an earlier version gets the plain text", [&] {
        PeerMessage plain = request;
        plain.readsPackedText = false;
        EXPECT_EQ(replyTo(plain).text, newer.text);
    });
    section("after a difference that can't be applied, the node asks for the whole text at once", [&] {
        Membership membership = startMembership({}, other, now);
        PeerMessage announcement;
        announcement.from = {"a"};
        announcement.generation = {2};
        EXPECT_EQ(requestBundle(receiver, announcement, older, membership, now)->head, older.head);
        PeerMessage damaged = replyTo(request);
        damaged.packedText.resize(damaged.packedText.size() / 2);
        EXPECT_FALSE(textOf(receiver, damaged));
        recordRefusedReply(receiver, damaged, now);
        const auto again = requestBundle(receiver, announcement, older, membership, now);
        ASSERT_TRUE(again);
        EXPECT_EQ(textOf(receiver, replyTo(*again)), newer.text);
        EXPECT_TRUE(replyTo(*again).baseDigest.value.empty());
    });
    section("and after a whole text that can't be applied, only later", [&] {
        PeerMessage damaged = replyTo(request);
        damaged.baseDigest = {};
        recordRefusedReply(receiver, damaged, now);
        PeerMessage announcement;
        announcement.from = {"a"};
        announcement.generation = {2};
        EXPECT_FALSE(requestBundle(receiver, announcement, older, startMembership({}, other, now), now + seconds(1)));
    });
}

} // namespace agatedoor
