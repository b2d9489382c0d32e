#include "agatedoor/decide/service_times.hpp"
#include "support/story.hpp"

#include <gtest/gtest.h>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using test::section;

constexpr RouteKey lookups{1};
constexpr RouteKey orders{2};
constexpr RouteKey uploads{3};

} // namespace

TEST(ServiceTimes, AreKeptApartByRoute)
{
    ServiceTimes times;
    const ServiceTimesOptions options{.windowSamples = 2, .maxRoutes = 2};
    section("a route without samples has no expected time", [&] { EXPECT_EQ(expectedTime(times, lookups), Duration::zero()); });
    section("a window ends with the samples of its own route", [&] {
        EXPECT_FALSE(recordSample(times, lookups, milliseconds(20), options));
        EXPECT_FALSE(recordSample(times, orders, milliseconds(150), options));
        EXPECT_EQ(recordSample(times, lookups, milliseconds(30), options), Duration(milliseconds(25)));
        EXPECT_EQ(recordSample(times, orders, milliseconds(170), options), Duration(milliseconds(160)));
    });
    section("the expected time follows the samples of the route", [&] {
        EXPECT_GT(expectedTime(times, lookups), Duration(milliseconds(20)));
        EXPECT_LT(expectedTime(times, lookups), Duration(milliseconds(30)));
        EXPECT_GT(expectedTime(times, orders), Duration(milliseconds(150)));
    });
    section("a route beyond the limit replaces the least recently used one", [&] {
        recordSample(times, lookups, milliseconds(20), options);
        recordSample(times, uploads, milliseconds(300), options);
        EXPECT_EQ(times.entries.size(), 2);
        EXPECT_EQ(expectedTime(times, orders), Duration::zero());
        EXPECT_EQ(expectedTime(times, uploads), Duration(milliseconds(300)));
    });
}

} // namespace agatedoor
