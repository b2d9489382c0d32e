#include "agatedoor/decide/retry_after.hpp"

#include "support/story.hpp"

#include <set>

namespace agatedoor {

TEST(RetryAfter, SpreadsCallersRefusedBecauseOfLoad)
{
    Random random{1};
    test::section("the delays of a refused burst are spread over the whole range", [&random] {
        std::set<std::int64_t> tenths;
        for (int i = 0; i < 200; ++i) {
            const Duration time = retryAfter(Reason::QueueFull, random);
            EXPECT_GE(time, RetryAfterOptions{}.minLoadDelay);
            EXPECT_LT(time, RetryAfterOptions{}.maxLoadDelay);
            tenths.insert((time - RetryAfterOptions{}.minLoadDelay) * 10 / (RetryAfterOptions{}.maxLoadDelay - RetryAfterOptions{}.minLoadDelay));
        }
        EXPECT_EQ(tenths.size(), 10U);
    });
    test::section("after a refusal for another reason, the caller is asked to wait for the short fixed delay", [&random] {
        EXPECT_EQ(retryAfter(Reason::Stopping, random), RetryAfterOptions{}.otherDelay);
        EXPECT_EQ(retryAfter(Reason::NoBundle, random), RetryAfterOptions{}.otherDelay);
    });
}

} // namespace agatedoor
