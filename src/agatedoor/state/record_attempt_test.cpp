#include "agatedoor/state/record_attempt.hpp"

#include "support/story.hpp"

namespace agatedoor {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr EjectionOptions options{};

EndedAttempt answer(int status, Duration elapsed, Duration reported)
{
    EndedAttempt attempt;
    attempt.end = {RunOutcome::Answered, Reason::None, status, elapsed, {}};
    attempt.load = LoadReport{3, 10, reported, elapsed};
    attempt.incarnation = {7};
    return attempt;
}

EndedAttempt refusal(Reason reason)
{
    EndedAttempt attempt;
    attempt.end = {RunOutcome::NotRun, reason, 0, milliseconds(1), {}};
    attempt.incarnation = {7};
    return attempt;
}

void runOnce(BackendStats &stats, const EndedAttempt &attempt, TimePoint now)
{
    beginAttempt(stats, now - attempt.end.elapsed);
    recordAttempt(stats, attempt, options, now);
}

} // namespace

TEST(RecordAttempt, DistinguishesLoadAbsenceAndFaults)
{
    test::section("ten consecutive refusals for load mark the backend server as overloaded but don't eject it", [] {
        BackendStats stats;
        for (int i = 0; i < 10; ++i) {
            runOnce(stats, refusal(Reason::QueueFull), start);
        }
        EXPECT_FALSE(candidateOf(stats, options, start).ejected);
        EXPECT_GT(candidateOf(stats, options, start).overloadedUntil, start);
        EXPECT_EQ(stats.failures.load(), 0U);
    });
    test::section("a backend server whose node is stopping is avoided until the node restarts or a short time has passed", [] {
        BackendStats stats;
        for (int i = 0; i < 10; ++i) {
            runOnce(stats, refusal(Reason::Stopping), start);
        }
        EXPECT_FALSE(candidateOf(stats, options, start).ejected);
        EXPECT_TRUE(avoided(stats, {7}, start + milliseconds(1500)));
        EXPECT_FALSE(avoided(stats, {8}, start));
        EXPECT_FALSE(avoided(stats, {7}, start + std::chrono::seconds(3)));
    });
    test::section("consecutive failed connects eject the backend server", [] {
        BackendStats stats;
        for (int i = 0; i < options.failuresInRow; ++i) {
            EXPECT_FALSE(candidateOf(stats, options, start).ejected);
            runOnce(stats, refusal(Reason::ConnectFailed), start);
        }
        EXPECT_TRUE(candidateOf(stats, options, start).ejected);
    });
}

/// Guards against a backend server that fails fast and attracts requests because its short answers look like spare capacity.
TEST(RecordAttempt, FastRejectionsDoNotImproveTheStatistics)
{
    BackendStats stats;
    runOnce(stats, answer(200, milliseconds(20), milliseconds(20)), start);
    for (int i = 0; i < options.failuresInRow; ++i) {
        runOnce(stats, answer(503, std::chrono::microseconds(100), std::chrono::microseconds(100)), start);
    }
    const Candidate candidate = candidateOf(stats, options, start);
    test::section("their times don't lower the averages", [&] {
        EXPECT_EQ(candidate.serviceTime, milliseconds(20));
        EXPECT_EQ(candidate.observedTime, milliseconds(20));
    });
    test::section("they count as faults and eject the backend server", [&] {
        EXPECT_TRUE(candidate.ejected);
        EXPECT_GT(candidate.failureRate, 0.0);
    });
}

TEST(RecordAttempt, DetectsSlownessWithoutLoadReports)
{
    BackendStats stats;
    runOnce(stats, answer(200, milliseconds(2), milliseconds(2)), start);
    test::section("a slow answer raises the observed time at once", [&] {
        EndedAttempt slow = answer(200, milliseconds(80), {});
        slow.load.reset();
        runOnce(stats, slow, start + milliseconds(100));
        EXPECT_GT(candidateOf(stats, options, start + milliseconds(100)).observedTime, milliseconds(8));
    });
    test::section("the first request without an answer sets the start of the silence", [&] {
        beginAttempt(stats, start + milliseconds(200));
        beginAttempt(stats, start + milliseconds(300));
        EXPECT_EQ(candidateOf(stats, options, start + milliseconds(400)).silentSince, start + milliseconds(200));
    });
}

} // namespace agatedoor
