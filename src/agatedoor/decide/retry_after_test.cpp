#include "agatedoor/decide/retry_after.hpp"

#include "support/story.hpp"

#include <set>

namespace agatedoor {

TEST(RetryAfter, SpreadsThoseWhoWereRefusedForLoad)
{
    Random random{1};
    test::section("a burst that was refused comes back over the whole span", [&random] {
        std::set<std::int64_t> tenths;
        for (int i = 0; i < 200; ++i) {
            const Duration time = retryAfter(Reason::QueueFull, random);
            EXPECT_GE(time, RetryAfterOptions{}.minLoadDelay);
            EXPECT_LT(time, RetryAfterOptions{}.maxLoadDelay);
            tenths.insert((time - RetryAfterOptions{}.minLoadDelay) * 10 / (RetryAfterOptions{}.maxLoadDelay - RetryAfterOptions{}.minLoadDelay));
        }
        EXPECT_EQ(tenths.size(), 10U);
    });
    test::section("a refusal that has nothing to do with load lets the caller back at once", [&random] {
        EXPECT_EQ(retryAfter(Reason::Stopping, random), RetryAfterOptions{}.otherDelay);
        EXPECT_EQ(retryAfter(Reason::NoBundle, random), RetryAfterOptions{}.otherDelay);
    });
}

} // namespace agatedoor
