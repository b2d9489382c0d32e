#include "agatedoor/membership/head_watch.hpp"

#include "support/story.hpp"

#include <set>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::section;

constexpr HeadWatchOptions options{};
constexpr TimePoint start{seconds(100)};

HeadWatchState startedNode()
{
    HeadWatchState state;
    state.startedAt = start;
    return state;
}

/// A node that has joined, has a bundle and doesn't watch.
HeadWatchState settledNode()
{
    HeadWatchState state = startedNode();
    nextHeadAction(state, {.hasBundle = true}, options, start);
    return state;
}

} // namespace

TEST(HeadWatch, AStartingNodeGetsTheBundleFromItsPeers)
{
    HeadWatchState state = startedNode();
    section("while it looks for peers it calls nobody", [&] { EXPECT_EQ(nextHeadAction(state, {.isolated = true}, options, start), HeadAction::None); });
    section("once it has joined, peers have some time to deliver", [&] {
        EXPECT_EQ(nextHeadAction(state, {}, options, start + milliseconds(200)), HeadAction::None);
        EXPECT_EQ(nextHeadAction(state, {}, options, start + milliseconds(400)), HeadAction::None);
    });
    section("with a bundle it reads nothing", [&] { EXPECT_EQ(nextHeadAction(state, {.hasBundle = true}, options, start + seconds(10)), HeadAction::None); });
}

TEST(HeadWatch, ANodeWhosePeersHaveNoBundleReadsItNowAndThen)
{
    HeadWatchState state = startedNode();
    EXPECT_EQ(nextHeadAction(state, {}, options, start), HeadAction::None);
    EXPECT_EQ(nextHeadAction(state, {}, options, start + options.peerTime), HeadAction::Read);
    EXPECT_EQ(nextHeadAction(state, {}, options, start + options.peerTime + milliseconds(500)), HeadAction::None);
    EXPECT_EQ(nextHeadAction(state, {}, options, start + options.peerTime + options.selfReadInterval), HeadAction::Read);
    section("and at once after a read that failed", [&] {
        const TimePoint failedAt = start + seconds(6);
        recordFailedRead(state, failedAt);
        EXPECT_EQ(nextHeadAction(state, {}, options, failedAt), HeadAction::Read);
    });
}

TEST(HeadWatch, ANodeThatOthersJoinThroughReadsAtOnce)
{
    HeadWatchState state = startedNode();
    section("alone it watches", [&] { EXPECT_EQ(nextHeadAction(state, {.isolated = true, .isContact = true}, options, start), HeadAction::Watch); });
    section("among peers it reads, unless one of them was quicker", [] {
        HeadWatchState joined = startedNode();
        EXPECT_EQ(nextHeadAction(joined, {.isContact = true}, options, start), HeadAction::Read);
        EXPECT_EQ(nextHeadAction(joined, {.isContact = true}, options, start + seconds(1)), HeadAction::None);
        HeadWatchState told = startedNode();
        EXPECT_EQ(nextHeadAction(told, {.isContact = true, .hasBundle = true}, options, start), HeadAction::None);
    });
}

/// After all nodes lost power at once, every peer waits for the others.
TEST(HeadWatch, WhenAllStartAtOnceTheSelectedNodesReadForTheOthers)
{
    HeadWatchState state = startedNode();
    section("a selected node without a bundle reads as soon as it has joined",
            [&] { EXPECT_EQ(nextHeadAction(state, {.selected = true}, options, start), HeadAction::Read); });
    section("and no more until peers had time to deliver", [&] {
        EXPECT_EQ(nextHeadAction(state, {.selected = true}, options, start + milliseconds(50)), HeadAction::None);
        EXPECT_EQ(nextHeadAction(state, {}, options, start + milliseconds(100)), HeadAction::None);
        EXPECT_EQ(nextHeadAction(state, {.selected = true}, options, start + milliseconds(150)), HeadAction::None);
    });
    section("one that a peer told the bundle reads nothing", [] {
        HeadWatchState told = startedNode();
        EXPECT_EQ(nextHeadAction(told, {.selected = true, .hasBundle = true}, options, start), HeadAction::None);
    });
}

TEST(HeadWatch, ANodeWithoutPeersDependsOnTheStore)
{
    section("after the time to join", [] {
        HeadWatchState state = startedNode();
        EXPECT_EQ(nextHeadAction(state, {.isolated = true}, options, start + options.joinTime), HeadAction::Watch);
    });
    section("at once when it had peers and lost them", [] {
        HeadWatchState state = settledNode();
        EXPECT_EQ(nextHeadAction(state, {.isolated = true, .hasBundle = true}, options, start + seconds(60)), HeadAction::Watch);
    });
}

TEST(HeadWatch, TheSelectionOfWatchersMustLast)
{
    HeadWatchState state = settledNode();
    const TimePoint selectedAt = start + seconds(10);
    section("a node that is selected watches after the settle time", [&] {
        EXPECT_EQ(nextHeadAction(state, {.selected = true, .hasBundle = true}, options, selectedAt), HeadAction::None);
        EXPECT_EQ(nextHeadAction(state, {.selected = true, .hasBundle = true}, options, selectedAt + options.settleTime), HeadAction::Watch);
    });
    section("it goes on as long as it is selected",
            [&] { EXPECT_EQ(nextHeadAction(state, {.selected = true, .hasBundle = true}, options, selectedAt + seconds(60)), HeadAction::Watch); });
    section("and ends when another one is selected", [&] {
        const TimePoint replacedAt = selectedAt + seconds(70);
        EXPECT_EQ(nextHeadAction(state, {.hasBundle = true}, options, replacedAt), HeadAction::None);
        EXPECT_EQ(nextHeadAction(state, {.selected = true, .hasBundle = true}, options, replacedAt + seconds(1)), HeadAction::None);
    });
}

/// Guards against a node that takes the silence of its peers for the word that nothing has changed.
TEST(HeadWatch, ANodeAsksTheStoreWhenItsConfirmationIsTooOld)
{
    HeadWatchState state = settledNode();
    Random random{1};
    const auto actionAt = [&](std::size_t rank, Duration age) {
        return nextHeadAction(state, {.rank = rank, .selected = rank < 6, .hasBundle = true, .confirmationAge = age}, options, start);
    };
    section("the selected ones in the order of their rank", [&] {
        EXPECT_EQ(actionAt(1, options.selectedLimit), HeadAction::None);
        EXPECT_EQ(actionAt(1, options.selectedLimit + options.limitPerRank), HeadAction::Confirm);
        EXPECT_EQ(actionAt(5, options.selectedLimit + options.limitPerRank * 4), HeadAction::None);
        EXPECT_EQ(actionAt(5, options.selectedLimit + options.limitPerRank * 5), HeadAction::Confirm);
    });
    section("then the others, at different times", [&] {
        std::set<Duration> limits;
        for (int i = 0; i < 20; ++i) {
            drawLimitDelay(state, options, random);
            const Duration limit = options.otherLimit + state.limitDelay;
            EXPECT_EQ(actionAt(9, limit - milliseconds(1)), HeadAction::None);
            EXPECT_EQ(actionAt(9, limit), HeadAction::Confirm);
            EXPECT_LT(limit, seconds(2));
            limits.insert(limit);
        }
        EXPECT_EQ(limits.size(), 20U);
    });
    section("a watcher too, unless it is the first of the fleet, whose watch is confirmed anyway", [&] {
        HeadWatchState watcher = settledNode();
        const HeadWatchView late{.rank = 1, .selected = true, .hasBundle = true, .confirmationAge = seconds(9)};
        HeadWatchView first = late;
        first.isFirst = true;
        nextHeadAction(watcher, late, options, start);
        EXPECT_EQ(nextHeadAction(watcher, late, options, start + options.settleTime), HeadAction::Confirm);
        EXPECT_EQ(nextHeadAction(watcher, first, options, start + options.settleTime), HeadAction::Watch);
    });
    section("a node without a bundle has nothing to confirm",
            [&] { EXPECT_EQ(nextHeadAction(state, {.rank = 9, .confirmationAge = seconds(9)}, options, start), HeadAction::None); });
}

/// Guards against a watcher that lags and has to take every version that it missed over a narrow link.
TEST(HeadWatch, AWatcherThatPeersOvertookReadsOnlyTheNewestVersion)
{
    HeadKnowledge knowledge{.revisionKnown = true, .fullReadBy = deadlineAfter(start, seconds(60)), .inForce = {7}, .readFromStore = {7}};
    section("one that has read what is in force goes on watching", [&] { EXPECT_FALSE(shouldReadHead(knowledge, start)); });
    section("one that got a newer version from a peer reads", [&] {
        knowledge.inForce = {9};
        EXPECT_TRUE(shouldReadHead(knowledge, start));
        knowledge.readFromStore = {9};
        EXPECT_FALSE(shouldReadHead(knowledge, start));
    });
    section("so does one that doesn't know the revision, or whose full read is due", [&] {
        EXPECT_TRUE(shouldReadHead(knowledge, start + seconds(60)));
        knowledge.revisionKnown = false;
        EXPECT_TRUE(shouldReadHead(knowledge, start));
    });
}

} // namespace agatedoor
