#include "agatedoor/decide/response_times.hpp"

#include "agatedoor/base/random.hpp"
#include "support/story.hpp"

#include <gtest/gtest.h>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using test::section;

constexpr RouteKey lookups{1};
constexpr RouteKey reports{2};

} // namespace

/// Short lookups and long reports of one service, in turns.
TEST(ResponseTimes, AreKeptApartByRoute)
{
    ResponseTimes times;
    section("a route without samples has none", [&] { EXPECT_EQ(tailOf(times, lookups), Duration::zero()); });
    section("long reports leave the tail of short lookups alone", [&] {
        Random random{1};
        for (int i = 0; i < 2000; ++i) {
            const auto spread = std::chrono::microseconds(static_cast<std::int64_t>(20'000 * uniformUnit(random)));
            recordResponseTime(times, lookups, milliseconds(30) + spread);
            recordResponseTime(times, reports, milliseconds(400) + spread);
        }
        EXPECT_NEAR(static_cast<double>(inMicroseconds(tailOf(times, lookups)).count()), 49'000, 5000);
        EXPECT_GT(tailOf(times, reports), milliseconds(390));
    });
    section("the number of routes is bounded, and the one used least recently goes", [&] {
        for (std::uint64_t route = 10; route < 10 + maxRecentRoutes - 1; ++route) {
            recordResponseTime(times, {route}, milliseconds(1));
            recordResponseTime(times, lookups, milliseconds(40));
        }
        EXPECT_EQ(times.entries.size(), maxRecentRoutes);
        EXPECT_GT(tailOf(times, lookups), Duration::zero());
        EXPECT_EQ(tailOf(times, reports), Duration::zero());
    });
}

} // namespace agatedoor
