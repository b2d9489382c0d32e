#include "agatedoor/membership/head_exchange.hpp"

#include "agatedoor/base/random_time.hpp"
#include "agatedoor/membership/head_watch.hpp"
#include "fake_fleet.hpp"
#include "support/story.hpp"

#include <iostream>
#include <set>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::FakeNode;
using test::section;

constexpr HeadWatchOptions watchOptions{};
constexpr int nodesPerRegion = 18;
constexpr std::size_t sources = 6;
constexpr milliseconds inForceBound{2000}; ///< From the confirmation of a change, as the users ask.
constexpr milliseconds storeTime{8}; ///< Of a call that doesn't wait.
constexpr seconds longWatch{25};
constexpr milliseconds peersRefreshInterval{100};
constexpr milliseconds leastBackOff{200}; ///< Of the pauses of watchers whose calls fail; they double.
constexpr int maxBackOffDoublings = 5;

/// Two regions of nodes beside a store that answers each of them or not. The store's calls take no thread: a node that asks gets the reply when it is due.
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed)
        : m_fleet(seed)
    {
        m_fleet.step = milliseconds(10);
        m_fleet.answer = [this](FakeNode &node, const PeerMessage &message) { return receive(node, message); };
        for (int i = 0; i < nodesPerRegion * 2; ++i) {
            const std::string region = i % 2 == 0 ? "north" : "south";
            m_fleet.start(nameOf(i), region + (i % 4 < 2 ? "-a" : "-b"), region, "service", i == 0 ? "" : nameOf(0));
            State &state = m_states[nameOf(i)];
            state.inForce = {1};
            state.hasBundleSince = bootNow();
            drawLimitDelay(state.watch, watchOptions, m_fleet.random());
        }
        run(seconds(6));
        m_calls = 0;
    }

    static std::string nameOf(int number) { return "n" + std::to_string(number); }

    /// Whether the store answers a node.
    std::function<bool(const std::string &)> serves = [](const std::string &) { return true; };
    /// Whether the store answers it that there is no change, whatever it holds: a watch that is open and silent.
    std::set<std::string> silentWatches;

    test::FakeFleet &network() { return m_fleet; }
    int calls() const { return m_calls; }
    Generation inForce(const std::string &name) const { return m_states.at(name).inForce; }

    void run(Duration time)
    {
        const TimePoint end = m_fleet.now + time;
        while (m_fleet.now < end) {
            m_fleet.run(m_fleet.step);
            for (auto &[name, node] : m_fleet.nodes) {
                if (node.running && !node.paused) {
                    step(name, node);
                }
            }
        }
    }

    void publish(std::uint64_t generation)
    {
        m_head = {generation};
        m_changedAt = m_fleet.now;
    }

    /// The members of the region of @p name in the order in which they ask the store.
    std::vector<std::string> ranked(const std::string &name)
    {
        const auto &membership = m_fleet.nodes.at(name).membership;
        std::vector<std::string> names;
        for (const auto &peer : headPeersOf(membership.table, membership.self, sources).ranked) {
            names.push_back(peer.node.value);
        }
        return names;
    }

    std::vector<std::string> sourcesOfBothRegions()
    {
        std::vector<std::string> all;
        for (const auto &name : {nameOf(0), nameOf(1)}) {
            const auto names = ranked(name);
            all.insert(all.end(), names.begin(), names.begin() + sources);
        }
        return all;
    }

    /// Time from the change until the last of the nodes that run, and that @p counts, has it; none if one still hasn't.
    std::optional<Duration> timeToBeInForce(const std::function<bool(const std::string &)> &counts = [](const auto &) { return true; })
    {
        const auto done = [&] {
            return std::all_of(m_fleet.nodes.begin(), m_fleet.nodes.end(), [&](const auto &entry) {
                return !entry.second.running || entry.second.paused || !counts(entry.first) || m_states.at(entry.first).inForce == m_head;
            });
        };
        while (!done() && m_fleet.now - m_changedAt < seconds(20)) {
            run(m_fleet.step);
        }
        return done() ? std::optional<Duration>(m_fleet.now - m_changedAt) : std::nullopt;
    }

private:
    struct Call
    {
        BootTime askedAt;
        Deadline answerBy; ///< When the store ends its wait.
        Duration wait{0};
        Duration limit = Duration::max(); ///< Age of the confirmation at which the node ends the call.
    };

    struct State
    {
        HeadExchange exchange;
        SharedHeadConfirmation confirmation;
        HeadWatchState watch;
        Generation inForce;
        BootTime hasBundleSince;
        std::optional<Call> call;
        Deadline nextRound{TimePoint::min()};
        int failures = 0;
        HeadPeers peers;
        Deadline peersRefreshAt{TimePoint::min()};
    };

    BootTime bootNow() const { return BootTime(m_fleet.now.time_since_epoch()); }

    std::vector<Outgoing> receive(FakeNode &node, const PeerMessage &message)
    {
        State &state = m_states.at(node.membership.self.node.value);
        if (message.kind == PeerMessageKind::HeadQuestion) {
            holdHeadQuestion(state.exchange, message, bootNow());
        }
        if (message.kind == PeerMessageKind::HeadAnswer) {
            if (const auto told = takeHeadAnswer(state.exchange, message, bootNow())) {
                state.confirmation.record(*told, state.inForce);
            }
        }
        if (message.generation > state.inForce) {
            apply(node, state, message.generation); // The exchange of bundles is another module's.
        }
        return {};
    }

    void apply(FakeNode &node, State &state, Generation generation)
    {
        state.inForce = generation;
        state.confirmation.noteInForce(generation);
        m_fleet.send(node.membership.self.node.value, announceGeneration(node.membership, generation, m_fleet.now, m_fleet.random()));
    }

    const HeadPeers &peersOf(const FakeNode &node, State &state) const
    {
        if (expired(state.peersRefreshAt, m_fleet.now)) {
            state.peersRefreshAt = deadlineAfter(m_fleet.now, peersRefreshInterval);
            state.peers = headPeersOf(node.membership.table, node.membership.self, sources);
        }
        return state.peers;
    }

    void step(const std::string &name, FakeNode &node)
    {
        State &state = m_states.at(name);
        MembershipOutput output;
        output.messages = dueHeadAnswers(state.exchange, node.membership, state.confirmation.current());
        const HeadPeers &peers = peersOf(node, state);
        if (auto question = dueHeadQuestion(state.exchange, node.membership, peers, state.confirmation.newestAt(), bootNow(), m_fleet.random())) {
            output.messages.push_back(std::move(*question));
        }
        m_fleet.send(name, output);
        if (state.call) {
            finishCall(name, node, state);
        } else if (expired(state.nextRound, m_fleet.now)) {
            beginRound(state, presentMembers(node.membership).size() == 1);
        }
    }

    Duration confirmationAge(const State &state) const { return ageOf(state.confirmation.current(), bootNow()).value_or(bootNow() - state.hasBundleSince); }

    Duration waitTime(const HeadWatchView &view, HeadAction action) const
    {
        if (action == HeadAction::Confirm) {
            return Duration::zero();
        }
        return renewsConfirmation(view) ? std::max<Duration>(watchOptions.renewAfter - view.confirmationAge, Duration::zero()) : Duration(longWatch);
    }

    HeadWatchView viewOf(const State &state, bool isolated) const
    {
        const std::size_t rank = state.peers.ownRank;
        return {.isolated = isolated,
                .rank = rank,
                .selected = rank < sources,
                .isFirst = state.peers.isFirst,
                .hasBundle = true,
                .confirmationAge = confirmationAge(state)};
    }

    void beginRound(State &state, bool isolated)
    {
        const HeadWatchView view = viewOf(state, isolated);
        const HeadAction action = nextHeadAction(state.watch, view, watchOptions, m_fleet.now);
        if (action == HeadAction::None) {
            return;
        }
        const Duration wait = waitTime(view, action);
        state.call = Call{bootNow(), deadlineAfter(m_fleet.now, wait + storeTime), wait};
        state.call->limit = wait == longWatch ? confirmationLimit(state.watch, view, watchOptions) : Duration::max();
        drawLimitDelay(state.watch, watchOptions, m_fleet.random());
        ++m_calls;
    }

    void finishCall(const std::string &name, FakeNode &node, State &state)
    {
        const bool silent = silentWatches.contains(name);
        const bool changed = m_head > state.inForce && !silent;
        if (!serves(name)) {
            state.call.reset();
            const auto longPause = pauseOfUnselected(viewOf(state, false), state.failures, watchOptions, m_fleet.random());
            const Duration backOff = leastBackOff / 2 + uniformTime(m_fleet.random(), leastBackOff * (1 << std::min(state.failures++, maxBackOffDoublings)));
            state.nextRound = deadlineAfter(m_fleet.now, longPause.value_or(backOff));
        } else if (isGivenUp(state, silent)) {
            state.call.reset();
        } else if (changed) {
            apply(node, state, m_head);
            confirm(name, state, state.call->askedAt);
        } else if (expired(state.call->answerBy, m_fleet.now) && !silent) {
            confirm(name, state, state.call->askedAt + state.call->wait);
        }
    }

    /// A call ends without an answer when the confirmation is too old for it, or when its time is over.
    bool isGivenUp(const State &state, bool silent) const
    {
        const bool late = confirmationAge(state) >= state.call->limit;
        return late || (silent && m_fleet.now >= state.call->answerBy.at + watchReplyTime);
    }

    void confirm(const std::string &name, State &state, BootTime at)
    {
        state.failures = 0;
        state.confirmation.record({state.inForce, at, {}, {name}}, state.inForce);
        state.call.reset();
    }

    test::FakeFleet m_fleet;
    std::map<std::string, State> m_states;
    Generation m_head{1};
    TimePoint m_changedAt;
    int m_calls = 0;
};

/// Publishes a change after @p trouble has lasted for a moment, for some seeds, and expects it to be in force in time.
void expectInForce(
    const std::string &name, const std::function<void(Fleet &)> &trouble,
    const std::function<bool(const std::string &)> &counts = [](const auto &) { return true; })
{
    section(name, [&] {
        Duration longest{};
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            Fleet fleet(seed);
            trouble(fleet);
            fleet.run(milliseconds(300));
            fleet.publish(2);
            const auto time = fleet.timeToBeInForce(counts);
            ASSERT_TRUE(time) << "seed " << seed;
            EXPECT_LE(*time, inForceBound) << "seed " << seed;
            longest = std::max(longest, *time);
        }
        std::cout << name << ": in force everywhere after at most " << longest / milliseconds(1) << " ms\n";
    });
}

} // namespace

/// Guards against nodes that go on by an old configuration because nobody who asks the store reaches them.
TEST(HeadExchange, AChangeIsInForceInTimeThoughThoseThatAskTheStoreAreLost)
{
    expectInForce("nothing", [](Fleet &) {});
    expectInForce("all sources are killed", [](Fleet &fleet) {
        for (const auto &name : fleet.sourcesOfBothRegions()) {
            fleet.network().nodes.at(name).running = false;
        }
    });
    expectInForce("all sources are frozen", [](Fleet &fleet) {
        for (const auto &name : fleet.sourcesOfBothRegions()) {
            fleet.network().nodes.at(name).paused = true;
        }
    });
    expectInForce("the calls of all watchers stay silent", [](Fleet &fleet) {
        for (const auto &name : fleet.sourcesOfBothRegions()) {
            fleet.silentWatches.insert(name);
        }
    });
    expectInForce("the first of the fleet is killed", [](Fleet &fleet) {
        for (const auto &name : {fleet.ranked(Fleet::nameOf(0)).front(), fleet.ranked(Fleet::nameOf(1)).front()}) {
            fleet.network().nodes.at(name).running = false;
        }
    });
}

/// Guards against messages that are lost or held up and pass for the word that nothing is new.
TEST(HeadExchange, AChangeIsInForceInTimeThoughTheNetworkFails)
{
    expectInForce("one node is cut off from the others", [](Fleet &fleet) {
        const std::string cut = fleet.ranked(Fleet::nameOf(0)).back();
        fleet.network().link = [cut](const MemberRecord &from, const MemberRecord &to) { return from.node.value != cut && to.node.value != cut; };
    });
    expectInForce("each half is cut off from the other",
                  [](Fleet &fleet) { fleet.network().link = [](const MemberRecord &from, const MemberRecord &to) { return from.zone == to.zone; }; });
    expectInForce("the regions are cut off from each other",
                  [](Fleet &fleet) { fleet.network().link = [](const MemberRecord &from, const MemberRecord &to) { return from.region == to.region; }; });
    expectInForce("a third of the messages is lost", [](Fleet &fleet) { fleet.network().loss = 0.33; });
    expectInForce("all messages are held up", [](Fleet &fleet) { fleet.network().delay = seconds(4); });
}

/// The store is impaired then, so the users allow five seconds more.
TEST(HeadExchange, AChangeIsInForceThoughTheStoreTurnsAllSourcesAway)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Fleet fleet(seed);
        const auto names = fleet.sourcesOfBothRegions();
        const std::set<std::string> away(names.begin(), names.end());
        fleet.serves = [away](const std::string &name) { return !away.contains(name); };
        fleet.run(seconds(3));
        fleet.publish(2);
        const auto time = fleet.timeToBeInForce();
        ASSERT_TRUE(time) << "seed " << seed;
        EXPECT_LE(*time, inForceBound) << "seed " << seed;
    }
}

TEST(HeadExchange, OnACalmDayOnlyOneNodeCallsTheStoreAgainAndAgain)
{
    Fleet fleet(1);
    fleet.run(seconds(8));
    std::cout << fleet.calls() << " calls in 8 s, two regions\n";
    EXPECT_LE(fleet.calls(), 8'000 / 900 + 1 + 2 * static_cast<int>(sources));
}

TEST(HeadExchange, AStoreThatComesBackIsNotMetByAllNodesAtOnce)
{
    Fleet fleet(1);
    fleet.serves = [](const std::string &) { return false; };
    fleet.run(seconds(9));
    fleet.serves = [](const std::string &) { return true; };
    const int before = fleet.calls();
    fleet.run(milliseconds(500));
    EXPECT_LE(fleet.calls() - before, nodesPerRegion);
}

/// Guards against old news that a link held up and that would count from its arrival.
TEST(HeadExchange, AnAnswerCountsFromWhenItsQuestionWasSent)
{
    Random random{1};
    const BootTime start{seconds(100)};
    MemberRecord self;
    self.node = {"a"};
    self.gossip = {"a", 1};
    const Membership asking = startMembership({}, self, TimePoint(seconds(1)));
    self.node = {"b"};
    self.gossip = {"b", 1};
    const Membership answering = startMembership({}, self, TimePoint(seconds(1)));
    const HeadPeers peers{{{{"b"}, {"b", 1}}, {{"a"}, {"a", 1}}}, 1, 2, {{"b"}, {"b", 1}}, false};
    HeadExchange asker;
    HeadExchange source;
    const auto question = dueHeadQuestion(asker, asking, peers, start - seconds(1), start, random);
    ASSERT_TRUE(question);
    const PeerMessage received = decodePeerMessage(question->bytes).value();
    section("the source holds the question until it knows more than the asking node", [&] {
        holdHeadQuestion(source, received, start + milliseconds(5));
        EXPECT_TRUE(dueHeadAnswers(source, answering, HeadConfirmation{{3}, start - seconds(1), {}, {}}).empty());
    });
    const auto answers = dueHeadAnswers(source, answering, HeadConfirmation{{3}, start + milliseconds(105), {7, {2}}, {}});
    ASSERT_EQ(answers.size(), 1U);
    const PeerMessage answer = decodePeerMessage(answers[0].bytes).value();
    section("what it then says is as old as if the messages had taken no time", [&] {
        HeadExchange copy = asker;
        const auto told = takeHeadAnswer(copy, answer, start + seconds(2));
        ASSERT_TRUE(told);
        EXPECT_EQ(told->at, start + milliseconds(100));
        EXPECT_EQ(told->generation, Generation{3});
        EXPECT_EQ(told->position, (StorePosition{7, {2}}));
        EXPECT_FALSE(takeHeadAnswer(copy, answer, start + seconds(2))) << "it counts once";
    });
    section("it never is from the future, comes from the node that was asked, and in time", [&] {
        HeadExchange copy = asker;
        PeerMessage odd = answer;
        odd.confirmation.sinceQuestion = std::chrono::hours(1);
        EXPECT_EQ(takeHeadAnswer(copy, odd, start + seconds(1))->at, start + seconds(1));
        copy = asker;
        odd.from = {"c"};
        EXPECT_FALSE(takeHeadAnswer(copy, odd, start + seconds(1)));
        EXPECT_FALSE(takeHeadAnswer(copy, answer, start + seconds(3)));
    });
}

} // namespace agatedoor
