#include "agatedoor/decide/knee.hpp"

#include "agatedoor/base/random.hpp"
#include "support/story.hpp"

#include <queue>

namespace agatedoor {

namespace {

constexpr Slots slots{12};
constexpr KneeOptions options{};
constexpr double usualSeconds = 0.22;
constexpr double simulatedSeconds = 20;

/// Result of a simulation.
struct Outcome
{
    int answered = 0; ///< Completed requests.
    Slots limit{0}; ///< Limit at the end.
};

/// Simulates a backend server whose queue is never empty. A request that starts when more than 80 % of the slots are in use
/// takes @p slowdown times as long.
Outcome simulateOverload(double slowdown)
{
    Random random{3};
    Knee knee;
    Outcome outcome;
    struct Run
    {
        double endsAt;
        KneeSample sample;
        bool operator<(const Run &other) const { return endsAt > other.endsAt; }
    };
    std::priority_queue<Run> running;
    double seconds = 0;
    const auto at = [](double time) { return TimePoint{} + std::chrono::hours(1) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time)); };
    while (seconds < simulatedSeconds) {
        outcome.limit = kneeLimit(knee, slots, options, at(seconds));
        while (static_cast<std::int64_t>(running.size()) < outcome.limit.value) {
            const auto count = static_cast<std::int64_t>(running.size()) + 1;
            const double factor = count > 9 ? slowdown : 1;
            const double work = usualSeconds * factor * (0.7 + 0.6 * uniformUnit(random));
            running.push({seconds + work, {count, slots, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work))}});
        }
        seconds = running.top().endsAt;
        recordSample(knee, running.top().sample, options, at(seconds));
        running.pop();
        ++outcome.answered;
    }
    return outcome;
}

} // namespace

TEST(Knee, LimitsTheLoadToThePointWhereABackendServerSlowsDown)
{
    test::section("a backend server that slows down when nearly full answers more requests with fewer slots in use", [] {
        const Outcome outcome = simulateOverload(1.7);
        EXPECT_EQ(outcome.limit.value, 9);
        const double allSlots = simulatedSeconds / usualSeconds * (9 + 3 / 1.7) * 0.8;
        EXPECT_GT(outcome.answered, allSlots);
    });
    test::section("a backend server that doesn't slow down is used with all its slots", [] { EXPECT_EQ(simulateOverload(1).limit, slots); });
}

TEST(Knee, AllowsTheLoadForWhichSamplesAreMissing)
{
    const TimePoint start = TimePoint{} + std::chrono::hours(1);
    Knee knee;
    test::section("without samples, only the loaded share of the slots is used", [&] { EXPECT_EQ(kneeLimit(knee, slots, options, start).value, 9); });
    test::section("with samples below the loaded share, all slots are used to get samples above it", [&] {
        for (int i = 0; i < options.minSamples; ++i) {
            recordSample(knee, {5, slots, std::chrono::milliseconds(100)}, options, start);
        }
        EXPECT_EQ(kneeLimit(knee, slots, options, start), slots);
    });
    test::section("when requests above the loaded share are slower, those slots stay unused until the samples expire", [&] {
        for (int i = 0; i < options.minSamples; ++i) {
            recordSample(knee, {11, slots, std::chrono::milliseconds(150)}, options, start);
        }
        EXPECT_EQ(kneeLimit(knee, slots, options, start).value, 9);
        const TimePoint later = start + options.maxSampleAge;
        recordSample(knee, {5, slots, std::chrono::milliseconds(100)}, options, later - std::chrono::seconds(1));
        EXPECT_EQ(kneeLimit(knee, slots, options, later), slots);
    });
    test::section("the limit is never below one slot", [&] { EXPECT_EQ(kneeLimit(Knee{}, {1}, options, start).value, 1); });
}

} // namespace agatedoor
