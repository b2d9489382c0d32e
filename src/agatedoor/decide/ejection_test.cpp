#include "agatedoor/decide/ejection.hpp"

#include "support/story.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace agatedoor {

namespace {

using std::chrono::seconds;

constexpr TimePoint start{seconds(100)};
constexpr EjectionOptions options{};

/// Fixes the seed of the property tests, so that every run checks the same cases.
const int seedFixed = setenv("RC_PARAMS", "seed=4 max_success=500", 1);

std::int64_t ejectedCount(const std::vector<Candidate> &candidates)
{
    return std::count_if(candidates.begin(), candidates.end(), [](const Candidate &candidate) { return candidate.ejected; });
}

/// One candidate for each value; two of three values give an ejected one, whose ejection ends after that many seconds.
std::vector<Candidate> candidatesFrom(const std::vector<std::uint8_t> &endings)
{
    std::vector<Candidate> candidates;
    for (const auto ending : endings) {
        Candidate candidate;
        candidate.ejected = ending % 3 != 0;
        candidate.ejectedUntil = start + seconds(ending);
        candidates.push_back(candidate);
    }
    return candidates;
}

} // namespace

TEST(Ejection, DoublesUpToABoundAndIsForgotten)
{
    Ejection ejection = nextEjection({}, options, start);
    test::section("the first ejection is short", [&] { EXPECT_EQ(ejection.until, start + options.firstDuration); });
    test::section("an ejection in effect isn't prolonged",
                  [&] { EXPECT_EQ(nextEjection(ejection, options, start + std::chrono::milliseconds(500)).until, ejection.until); });
    test::section("each further ejection lasts twice as long, up to the bound", [&] {
        for (const int length : {2, 4, 8, 16, 30, 30}) {
            const TimePoint end = ejection.until;
            ejection = nextEjection(ejection, options, end);
            EXPECT_EQ(ejection.until - end, seconds(length));
        }
    });
    test::section("after a long time in service the next ejection is short again", [&] {
        const TimePoint later = ejection.until + options.forgetAfter;
        EXPECT_EQ(nextEjection(ejection, options, later).until, later + options.firstDuration);
    });
}

TEST(Ejection, WeightGrowsBackGradually)
{
    EXPECT_DOUBLE_EQ(rampUpWeight(TimePoint{}, options, start), 1.0);
    EXPECT_DOUBLE_EQ(rampUpWeight(start, options, start), options.minWeight);
    EXPECT_DOUBLE_EQ(rampUpWeight(start, options, start + options.rampUpTime / 2), 0.5);
    EXPECT_DOUBLE_EQ(rampUpWeight(start, options, start + options.rampUpTime), 1.0);
}

TEST(Ejection, NeverEjectsMoreThanTheAllowedShare)
{
    EXPECT_TRUE(
        rc::check("a minimum share stays in rotation, and all candidates are reinstated when all are ejected", [](const std::vector<std::uint8_t> &endings) {
            std::vector<Candidate> candidates = candidatesFrom(endings);
            const std::int64_t before = ejectedCount(candidates);
            const auto total = static_cast<std::int64_t>(candidates.size());
            limitEjections(candidates, options);
            RC_ASSERT(ejectedCount(candidates) <= total * options.maxEjected.value / 100);
            RC_ASSERT(before < total || ejectedCount(candidates) == 0);
            RC_ASSERT(ejectedCount(candidates) <= before);
        }));
    test::section("candidates whose ejection ends first are reinstated first", [] {
        std::vector<Candidate> candidates = candidatesFrom({5, 1, 2, 0});
        limitEjections(candidates, options);
        EXPECT_TRUE(candidates[0].ejected);
        EXPECT_FALSE(candidates[1].ejected);
        EXPECT_TRUE(candidates[2].ejected);
    });
}

} // namespace agatedoor
