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

/// Random figures of the property tests are the same on every run.
const int seeded = setenv("RC_PARAMS", "seed=4 max_success=500", 1);

std::int64_t ejectedCount(const std::vector<Candidate> &candidates)
{
    return std::count_if(candidates.begin(), candidates.end(), [](const Candidate &candidate) { return candidate.ejected; });
}

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

TEST(Ejection, GrowsWithRepeatsUpToABoundAndIsForgotten)
{
    Ejection ejection = ejectAgain({}, options, start);
    test::section("the first one is short", [&] { EXPECT_EQ(ejection.until, start + options.firstDuration); });
    test::section("one that lasts isn't prolonged",
                  [&] { EXPECT_EQ(ejectAgain(ejection, options, start + std::chrono::milliseconds(500)).until, ejection.until); });
    test::section("each further one doubles, up to the bound", [&] {
        for (const int length : {2, 4, 8, 16, 30, 30}) {
            const TimePoint back = ejection.until;
            ejection = ejectAgain(ejection, options, back);
            EXPECT_EQ(ejection.until - back, seconds(length));
        }
    });
    test::section("after a long time in service the next one is short again", [&] {
        const TimePoint later = ejection.until + options.forgetAfter;
        EXPECT_EQ(ejectAgain(ejection, options, later).until, later + options.firstDuration);
    });
}

TEST(Ejection, ReturnsGradually)
{
    EXPECT_DOUBLE_EQ(returnWeight(TimePoint{}, options, start), 1.0);
    EXPECT_DOUBLE_EQ(returnWeight(start, options, start), options.minWeight);
    EXPECT_DOUBLE_EQ(returnWeight(start, options, start + options.rampUpTime / 2), 0.5);
    EXPECT_DOUBLE_EQ(returnWeight(start, options, start + options.rampUpTime), 1.0);
}

TEST(Ejection, NeverTakesOutMoreThanItsShare)
{
    EXPECT_TRUE(rc::check("a floor stays in, and all are used when all are bad", [](const std::vector<std::uint8_t> &endings) {
        std::vector<Candidate> candidates = candidatesFrom(endings);
        const std::int64_t before = ejectedCount(candidates);
        const auto total = static_cast<std::int64_t>(candidates.size());
        boundEjection(candidates, options);
        RC_ASSERT(ejectedCount(candidates) <= total * options.maxEjected.value / 100);
        RC_ASSERT(before < total || ejectedCount(candidates) == 0);
        RC_ASSERT(ejectedCount(candidates) <= before);
    }));
    test::section("those that end first come back first", [] {
        std::vector<Candidate> candidates = candidatesFrom({5, 1, 2, 0});
        boundEjection(candidates, options);
        EXPECT_TRUE(candidates[0].ejected);
        EXPECT_FALSE(candidates[1].ejected);
        EXPECT_TRUE(candidates[2].ejected);
    });
}

} // namespace agatedoor
