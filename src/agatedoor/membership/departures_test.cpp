#include "agatedoor/membership/departures.hpp"

#include "support/story.hpp"

#include <gtest/gtest.h>

namespace agatedoor {

namespace {

using std::chrono::seconds;
using test::section;

const TimePoint start = TimePoint{} + std::chrono::hours(1);

} // namespace

TEST(Departures, ApplyToProcessesStartedUpToTheRecordedTime)
{
    Departures departures;
    EXPECT_TRUE(recordDeparture(departures, {{"a"}, DepartureStep::Draining, {100}}, start));
    section("they apply to processes started at that time or earlier, and to those with an unknown start time", [&] {
        EXPECT_EQ(departureStepOf(departures, {"a"}, {100}, start), DepartureStep::Draining);
        EXPECT_EQ(departureStepOf(departures, {"a"}, {99}, start), DepartureStep::Draining);
        EXPECT_EQ(departureStepOf(departures, {"a"}, {}, start), DepartureStep::Draining);
    });
    section("they don't apply to later processes or other backend servers", [&] {
        EXPECT_EQ(departureStepOf(departures, {"a"}, {101}, start), std::nullopt);
        EXPECT_EQ(departureStepOf(departures, {"b"}, {100}, start), std::nullopt);
    });
    section("a later start time or a later step wins, in any order of arrival", [&] {
        EXPECT_TRUE(recordDeparture(departures, {{"a"}, DepartureStep::Gone, {100}}, start));
        EXPECT_FALSE(recordDeparture(departures, {{"a"}, DepartureStep::Draining, {100}}, start));
        EXPECT_EQ(departureStepOf(departures, {"a"}, {100}, start), DepartureStep::Gone);
        EXPECT_TRUE(recordDeparture(departures, {{"a"}, DepartureStep::Draining, {200}}, start));
        EXPECT_FALSE(recordDeparture(departures, {{"a"}, DepartureStep::Gone, {100}}, start));
        EXPECT_EQ(departureStepOf(departures, {"a"}, {200}, start), DepartureStep::Draining);
    });
}

TEST(Departures, AreLimitedInRetentionAndNumber)
{
    const DepartureOptions options{3, seconds(30)};
    Departures departures;
    for (int i = 0; i < 4; ++i) {
        recordDeparture(departures, {{std::to_string(i)}, DepartureStep::Gone, {100}}, start + seconds(i), options);
    }
    section("the entry that expires first is dropped when the limit is reached", [&] {
        EXPECT_EQ(activeDepartures(departures, start + seconds(4)).size(), 3U);
        EXPECT_EQ(departureStepOf(departures, {"0"}, {100}, start + seconds(4)), std::nullopt);
    });
    section("each entry expires on its own", [&] {
        EXPECT_EQ(departureStepOf(departures, {"1"}, {100}, start + seconds(31)), std::nullopt);
        EXPECT_EQ(departureStepOf(departures, {"2"}, {100}, start + seconds(31)), DepartureStep::Gone);
        EXPECT_EQ(activeDepartures(departures, start + seconds(31)).size(), 2U);
    });
    section("expired entries are removed when the next one is recorded", [&] {
        recordDeparture(departures, {{"5"}, DepartureStep::Gone, {100}}, start + seconds(60), options);
        EXPECT_EQ(departures.byBackend.size(), 1U);
    });
}

} // namespace agatedoor
