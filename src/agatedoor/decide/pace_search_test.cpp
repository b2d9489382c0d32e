#include "agatedoor/decide/pace_search.hpp"

#include "support/story.hpp"

#include <gtest/gtest.h>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using test::section;

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr PaceSearchOptions options{};

/// Advances the search by one step; the aim and the deadline are relative to the start.
SearchConstraints nextStep(PaceSearch &search, Duration aim, Duration deadline)
{
    return advanceSearch(search, options, deadlineAfter(start, aim), deadlineAfter(start, deadline), start);
}

} // namespace

/// Guards against a search that goes far or starts on a slow VM too early, while many VMs are slow for some tens of milliseconds.
TEST(PaceSearch, TriesNearThenWaitsThenTriesFarThenStarts)
{
    PaceSearch search;
    section("a request that met no slow VM does not search", [&] {
        EXPECT_FALSE(hasNextStep(search));
        EXPECT_FALSE(stepExhausted(search, options));
    });
    section("after meeting slow VMs in its region it waits there", [&] {
        search.slowMet = options.slowMet[0];
        EXPECT_TRUE(stepExhausted(search, options));
        ASSERT_TRUE(hasNextStep(search));
        const SearchConstraints bounds = nextStep(search, milliseconds(600), milliseconds(1500));
        EXPECT_EQ(search.step, PaceSearchStep::HoldNear);
        EXPECT_TRUE(bounds.nearOnly);
        EXPECT_FALSE(bounds.last);
        EXPECT_EQ(bounds.holdUntil.at, start + milliseconds(600) / options.holdDivisor);
    });
    section("then it tries every region without waiting", [&] {
        const SearchConstraints bounds = nextStep(search, milliseconds(600), milliseconds(1500));
        EXPECT_EQ(search.step, PaceSearchStep::Far);
        EXPECT_FALSE(bounds.nearOnly);
        EXPECT_FALSE(bounds.last);
        EXPECT_EQ(bounds.holdUntil.at, start);
    });
    section("finally it waits in any region and then starts even on a slow VM", [&] {
        const SearchConstraints bounds = nextStep(search, milliseconds(600), milliseconds(1500));
        EXPECT_EQ(search.step, PaceSearchStep::HoldAnywhere);
        EXPECT_FALSE(bounds.nearOnly);
        EXPECT_TRUE(bounds.last);
        EXPECT_GT(bounds.holdUntil.at, start);
        EXPECT_FALSE(hasNextStep(search));
    });
}

TEST(PaceSearch, HoldsARequestOnlyAsLongAsItCanWait)
{
    section("a request with little time is still held long enough for the pace to change", [&] {
        PaceSearch search{PaceSearchStep::Near, 2};
        EXPECT_EQ(nextStep(search, milliseconds(60), milliseconds(500)).holdUntil.at, start + options.minHold);
    });
    section("a request with much time isn't held longer than slowdowns last", [&] {
        PaceSearch search{PaceSearchStep::Near, 2};
        EXPECT_EQ(nextStep(search, std::chrono::seconds(20), std::chrono::seconds(60)).holdUntil.at, start + options.maxHold);
    });
    section("no hold extends past the deadline", [&] {
        PaceSearch search{PaceSearchStep::Near, 2};
        EXPECT_EQ(nextStep(search, milliseconds(600), milliseconds(10)).holdUntil.at, start + milliseconds(10));
    });
    section("an aim in the past leaves the shortest hold", [&] {
        PaceSearch search{PaceSearchStep::Near, 2};
        EXPECT_EQ(nextStep(search, milliseconds(-50), milliseconds(500)).holdUntil.at, start + options.minHold);
    });
}

TEST(PaceSearch, EveryRequestEndsItsSearch)
{
    PaceSearch search;
    int steps = 0;
    for (; hasNextStep(search) || search.slowMet == 0; ++search.slowMet) {
        if (search.slowMet > 0 && stepExhausted(search, options)) {
            nextStep(search, milliseconds(600), milliseconds(1500));
            ++steps;
        }
        ASSERT_LE(search.slowMet, options.slowMet.back());
    }
    EXPECT_EQ(steps, 3);
}

} // namespace agatedoor
