#include "agatedoor/decide/pace_search.hpp"

#include "support/story.hpp"

#include <gtest/gtest.h>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using test::section;

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr PaceSearchOptions options{};

SearchBounds further(PaceSearch &search, Duration aim, Duration deadline)
{
    return goFurther(search, options, deadlineAfter(start, aim), deadlineAfter(start, deadline), start);
}

} // namespace

/// The pattern: many VMs are slow for some tens of milliseconds each, others are not.
TEST(PaceSearch, LooksNearThenWaitsThenLooksFarThenStarts)
{
    PaceSearch search;
    section("a request that met no slow VM has nothing to search", [&] {
        EXPECT_FALSE(mayGoFurther(search));
        EXPECT_FALSE(stepExhausted(search, options));
    });
    section("after slow VMs near by it waits there", [&] {
        search.slowMet = options.slowMet[0];
        EXPECT_TRUE(stepExhausted(search, options));
        ASSERT_TRUE(mayGoFurther(search));
        const SearchBounds bounds = further(search, milliseconds(600), milliseconds(1500));
        EXPECT_EQ(search.step, PaceSearchStep::HoldNear);
        EXPECT_TRUE(bounds.nearOnly);
        EXPECT_FALSE(bounds.last);
        EXPECT_EQ(bounds.holdUntil.at, start + milliseconds(600) / options.holdDivisor);
    });
    section("then it asks in every region without waiting", [&] {
        const SearchBounds bounds = further(search, milliseconds(600), milliseconds(1500));
        EXPECT_EQ(search.step, PaceSearchStep::Far);
        EXPECT_FALSE(bounds.nearOnly);
        EXPECT_FALSE(bounds.last);
        EXPECT_EQ(bounds.holdUntil.at, start);
    });
    section("at last it waits anywhere and starts there, slow or not", [&] {
        const SearchBounds bounds = further(search, milliseconds(600), milliseconds(1500));
        EXPECT_EQ(search.step, PaceSearchStep::HoldAnywhere);
        EXPECT_FALSE(bounds.nearOnly);
        EXPECT_TRUE(bounds.last);
        EXPECT_GT(bounds.holdUntil.at, start);
        EXPECT_FALSE(mayGoFurther(search));
    });
}

TEST(PaceSearch, HoldsNoLongerThanARequestCanSpare)
{
    section("a hold of a request with little time is still long enough to see a change", [&] {
        PaceSearch search{PaceSearchStep::Near, 2};
        EXPECT_EQ(further(search, milliseconds(60), milliseconds(500)).holdUntil.at, start + options.minHold);
    });
    section("one with much time doesn't wait longer than slow spells last", [&] {
        PaceSearch search{PaceSearchStep::Near, 2};
        EXPECT_EQ(further(search, std::chrono::seconds(20), std::chrono::seconds(60)).holdUntil.at, start + options.maxHold);
    });
    section("none goes beyond the deadline", [&] {
        PaceSearch search{PaceSearchStep::Near, 2};
        EXPECT_EQ(further(search, milliseconds(600), milliseconds(10)).holdUntil.at, start + milliseconds(10));
    });
    section("an aim behind it leaves the shortest hold", [&] {
        PaceSearch search{PaceSearchStep::Near, 2};
        EXPECT_EQ(further(search, milliseconds(-50), milliseconds(500)).holdUntil.at, start + options.minHold);
    });
}

TEST(PaceSearch, EveryRequestEndsItsSearch)
{
    PaceSearch search;
    int steps = 0;
    for (; mayGoFurther(search) || search.slowMet == 0; ++search.slowMet) {
        if (search.slowMet > 0 && stepExhausted(search, options)) {
            further(search, milliseconds(600), milliseconds(1500));
            ++steps;
        }
        ASSERT_LE(search.slowMet, options.slowMet.back());
    }
    EXPECT_EQ(steps, 3);
}

} // namespace agatedoor
