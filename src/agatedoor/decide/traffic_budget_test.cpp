#include "agatedoor/decide/traffic_budget.hpp"

#include "support/story.hpp"

#include <rapidcheck.h>

#include <vector>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr TrafficRates rates{{1000}, {10'000}};

} // namespace

TEST(TrafficBudget, MeasuringStaysWithinItsRate)
{
    EXPECT_TRUE(rc::check("no more than the bytes of one second are spent beyond the rate, whatever is requested", [](const std::vector<std::uint8_t> &waits) {
        TrafficBudget budget;
        TimePoint now = start;
        std::int64_t spent = 0;
        for (const auto wait : waits) {
            now += milliseconds(wait);
            spent += takeMeasuringBytes(budget, rates, {wait}, now) ? wait : 0;
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - start);
        RC_ASSERT(spent <= rates.measuring.value + rates.measuring.value * elapsed.count() / 1000);
    }));
    test::section("a budget of 0 allows nothing", [] {
        TrafficBudget budget;
        EXPECT_FALSE(takeMeasuringBytes(budget, {}, {1}, start));
    });
}

TEST(TrafficBudget, ForbidsCrossingRegionsUntilTheDebtIsPaid)
{
    TrafficBudget budget;
    EXPECT_TRUE(mayCrossRegion(budget, rates, start));
    chargeCrossRegion(budget, rates, {30'000}, start);
    EXPECT_FALSE(mayCrossRegion(budget, rates, start + milliseconds(1900)));
    EXPECT_TRUE(mayCrossRegion(budget, rates, start + milliseconds(2100)));
    test::section("threads share the node's rates equally", [] { EXPECT_EQ(perThreadRates(rates, 4).measuring, BytesPerSecond{250}); });
}

} // namespace agatedoor
