#include "agatedoor/decide/adaptive_limit.hpp"
#include "support/golden.hpp"
#include "support/story.hpp"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <sstream>

namespace agatedoor {

namespace {

constexpr Slots announced{12};

/// State after @p windows more windows with the same mean service time.
AdaptiveLimit after(AdaptiveLimit state, int windows, Duration mean)
{
    for (int i = 0; i < windows; ++i) {
        state = adaptLimit(state, mean, announced, AdaptiveLimitOptions{});
    }
    return state;
}

} // namespace

TEST(AdaptiveLimit, GoldenSession)
{
    std::ostringstream text;
    AdaptiveLimit state;
    const auto windows = [&](const std::string &title, int count, int meanMs) {
        text << "== " << title << "\n";
        for (int i = 0; i < count; ++i) {
            state = adaptLimit(state, std::chrono::milliseconds(meanMs), announced, AdaptiveLimitOptions{});
            text << "mean " << meanMs << " ms: limit " << limitInSlots(state, announced).value << ", baseline "
                 << std::chrono::duration_cast<std::chrono::microseconds>(state.baseline).count() << " us\n";
        }
    };
    windows("healthy", 3, 10);
    windows("noisy neighbours", 8, 40);
    windows("quiet again", 12, 10);
    windows("slower for good", 24, 30);
    test::expectGolden("limits_adaptive.txt", text.str());
}

TEST(AdaptiveLimit, ShrinksWhileTheBackendServerIsSlowAndRecovers)
{
    const AdaptiveLimit healthy = after({}, 5, std::chrono::milliseconds(10));
    const AdaptiveLimit slowed = after(healthy, 6, std::chrono::milliseconds(50));
    test::section("a healthy backend server gets all its slots", [&] { EXPECT_EQ(limitInSlots(healthy, announced), announced); });
    test::section("variation within the tolerance does not change the limit",
                  [&] { EXPECT_EQ(limitInSlots(after(healthy, 9, std::chrono::milliseconds(15)), announced), announced); });
    test::section("a slow backend server gets a lower limit", [&] { EXPECT_LT(limitInSlots(slowed, announced), Slots{7}); });
    test::section("the limit recovers with the service time",
                  [&] { EXPECT_EQ(limitInSlots(after(slowed, 12, std::chrono::milliseconds(10)), announced), announced); });
    test::section("a lasting change becomes the new baseline",
                  [&] { EXPECT_EQ(limitInSlots(after(healthy, 60, std::chrono::milliseconds(50)), announced), announced); });
}

RC_GTEST_PROP(AdaptiveLimit, StaysBetweenOneAndTheAnnouncedSlots, ())
{
    AdaptiveLimit state;
    const auto means = *rc::gen::container<std::vector<std::int64_t>>(100, rc::gen::inRange<std::int64_t>(0, 60'000'000'000));
    for (const auto mean : means) {
        const Slots slots{*rc::gen::inRange<std::int64_t>(1, 40)};
        state = adaptLimit(state, std::chrono::nanoseconds(mean), slots, AdaptiveLimitOptions{});
        RC_ASSERT(limitInSlots(state, slots).value >= 1);
        RC_ASSERT(limitInSlots(state, slots) <= slots);
    }
}

} // namespace agatedoor
