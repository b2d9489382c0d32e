#include "agatedoor/decide/pace.hpp"

#include "agatedoor/base/random.hpp"
#include "support/story.hpp"

namespace agatedoor {

namespace {

using std::chrono::milliseconds;

constexpr PaceOptions options{};
const TimePoint start = TimePoint{} + std::chrono::hours(1);

PaceContext viewOf(double slowdown, Duration age)
{
    PaceContext view;
    view.pace = {slowdown, start - age};
    view.probeAllowed = true;
    view.holdUntil = {start};
    view.deadline = deadlineAfter(start, std::chrono::seconds(1));
    view.serviceTime = milliseconds(200);
    return view;
}

/// Simulates the next millisecond of a VM that is five times slower for a quarter of the time, in slowdowns of 150 ms on average.
/// Updates @p slow and returns the slowdown.
double slowdownAt(Random &random, bool &slow)
{
    constexpr double leaveSlow = 1.0 / 150;
    constexpr double enterSlow = leaveSlow / 3;
    if (uniformUnit(random) < (slow ? leaveSlow : enterSlow)) {
        slow = !slow;
    }
    return slow ? 5 : 1;
}

constexpr int simulatedMs = 60'000;

/// Slowdown in each simulated millisecond.
std::vector<double> simulatedPace()
{
    Random random{7};
    bool slow = false;
    std::vector<double> pace;
    pace.reserve(simulatedMs);
    for (int ms = 0; ms < simulatedMs; ++ms) {
        pace.push_back(slowdownAt(random, slow));
    }
    return pace;
}

/// Time in milliseconds at which a request starts that arrives at @p arrival and may be held for @p hold.
int startOf(const std::vector<double> &pace, int arrival, Duration hold)
{
    for (int ms = arrival;; ms += 20) {
        PaceContext view = viewOf(pace[static_cast<std::size_t>(ms)], milliseconds(0));
        view.holdUntil = {start + hold - milliseconds(ms - arrival)};
        view.last = true;
        view.deadline = deadlineAfter(start, std::chrono::seconds(2));
        if (decidePace(view, options, start) == PaceVerdict::Start) {
            return ms;
        }
    }
}

/// Share of the requests that start during a slowdown, when one arrives every 20 ms and each may be held for @p hold.
double slowShare(Duration hold)
{
    const std::vector<double> pace = simulatedPace();
    int requests = 0;
    int slowStarts = 0;
    for (int arrival = 0; arrival < 50'000; arrival += 20) {
        ++requests;
        slowStarts += pace[static_cast<std::size_t>(startOf(pace, arrival, hold))] > 1 ? 1 : 0;
    }
    return static_cast<double>(slowStarts) / requests;
}

/// Share of the uploads that start during a slowdown, when one arrives every 20 ms and its body takes 80 ms after admission.
/// @param checkedAgain whether the pace is checked again once the body was received
double slowUploadShare(bool checkedAgain)
{
    constexpr int bodyMs = 80;
    const Deadline deadline = deadlineAfter(start, std::chrono::seconds(2));
    const Duration hold = checkedAgain ? remaining(holdDeadlineAfterBody(deadline, milliseconds(200), options, start), start) : milliseconds(0);
    const std::vector<double> pace = simulatedPace();
    int uploads = 0;
    int slowStarts = 0;
    for (int arrival = 0; arrival < 50'000; arrival += 20) {
        const int received = startOf(pace, arrival, milliseconds(250)) + bodyMs;
        const int started = checkedAgain ? startOf(pace, received, hold) : received;
        ++uploads;
        slowStarts += pace[static_cast<std::size_t>(started)] > 1 ? 1 : 0;
    }
    return static_cast<double>(slowStarts) / uploads;
}

} // namespace

TEST(Pace, StartsRequestsWhileTheVmIsFast)
{
    test::section("a request starts after a recent measurement of the usual pace",
                  [] { EXPECT_EQ(decidePace(viewOf(1, milliseconds(5)), options, start), PaceVerdict::Start); });
    test::section("an old measurement is repeated", [] { EXPECT_EQ(decidePace(viewOf(1, milliseconds(16)), options, start), PaceVerdict::Read); });
    test::section("when no probe is allowed, an old measurement counts for a while, but a very old one is ignored", [] {
        PaceContext view = viewOf(5, milliseconds(50));
        view.probeAllowed = false;
        EXPECT_EQ(decidePace(view, options, start), PaceVerdict::Refuse);
        view.pace.readAt = start - milliseconds(101);
        EXPECT_EQ(decidePace(view, options, start), PaceVerdict::Start);
    });
    test::section("on a slow VM a request is held, then refused so that another VM can run it", [] {
        PaceContext view = viewOf(5, milliseconds(5));
        view.holdUntil = deadlineAfter(start, milliseconds(1));
        EXPECT_EQ(decidePace(view, options, start), PaceVerdict::Hold);
        EXPECT_EQ(decidePace(view, options, start + milliseconds(1)), PaceVerdict::Refuse);
    });
    test::section("a request that will not be tried elsewhere starts if it can still be answered in time", [] {
        PaceContext view = viewOf(4, milliseconds(5));
        view.last = true;
        EXPECT_EQ(decidePace(view, options, start), PaceVerdict::Start);
        view.pace.slowdown = 5;
        EXPECT_EQ(decidePace(view, options, start), PaceVerdict::Refuse);
    });
}

TEST(Pace, KeepsRequestsFromStartingDuringSlowdowns)
{
    EXPECT_GT(slowShare(milliseconds(0)), 0.2);
    EXPECT_LT(slowShare(milliseconds(250)), 0.1);
}

/// Guards against uploads that start during a slowdown: over a slow link, the pace measured at admission is out of date when the
/// body has been received.
TEST(Pace, IsCheckedAgainOnceTheBodyWasReceived)
{
    EXPECT_LT(slowUploadShare(true), slowUploadShare(false) / 2);
    test::section("a request is only held for as long as it can still finish before its deadline", [] {
        const Deadline soon = deadlineAfter(start, milliseconds(300));
        EXPECT_EQ(holdDeadlineAfterBody(soon, milliseconds(200), options, start), deadlineAfter(start, milliseconds(100)));
        EXPECT_EQ(holdDeadlineAfterBody(soon, milliseconds(400), options, start), Deadline{start});
    });
}

} // namespace agatedoor
