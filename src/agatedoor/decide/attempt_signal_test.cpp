#include "agatedoor/decide/attempt_signal.hpp"

#include "support/story.hpp"

namespace agatedoor {

namespace {

using std::chrono::milliseconds;

AttemptSignal answered(int status)
{
    return classifyAttempt({RunOutcome::Answered, Reason::None, status, milliseconds(1), milliseconds(2)});
}

AttemptSignal refused(Reason reason)
{
    return classifyAttempt({RunOutcome::NotRun, reason, 0, milliseconds(1), milliseconds(2)});
}

AttemptSignal timedOut(milliseconds elapsed)
{
    return classifyAttempt({RunOutcome::Unknown, Reason::AnswerTimeout, 0, elapsed, milliseconds(2)});
}

} // namespace

TEST(AttemptSignal, TellsOverloadUnavailabilityAndFaultsApart)
{
    test::section("an answer is a success, status 429 is overload, and a server error is a fault", [] {
        EXPECT_EQ(answered(200), AttemptSignal::Success);
        EXPECT_EQ(answered(404), AttemptSignal::Success);
        EXPECT_EQ(answered(429), AttemptSignal::Overloaded);
        EXPECT_EQ(answered(500), AttemptSignal::Fault);
        EXPECT_EQ(answered(503), AttemptSignal::Fault);
    });
    test::section("a refusal because of load is not a fault", [] {
        EXPECT_EQ(refused(Reason::QueueFull), AttemptSignal::Overloaded);
        EXPECT_EQ(refused(Reason::DeadlineTooShort), AttemptSignal::Overloaded);
    });
    test::section("a shutdown or an out-of-date view of the fleet is not a fault", [] {
        for (const Reason reason : {Reason::BackendDraining, Reason::Stopping, Reason::WrongIncarnation, Reason::WrongTarget}) {
            EXPECT_EQ(refused(reason), AttemptSignal::Unavailable) << wireName(reason);
        }
    });
    test::section("lost connections are faults", [] {
        EXPECT_EQ(refused(Reason::ConnectFailed), AttemptSignal::Fault);
        EXPECT_EQ(refused(Reason::ConnectionLost), AttemptSignal::Fault);
    });
    test::section("a timeout is a fault only after several times the expected time", [] {
        EXPECT_EQ(timedOut(milliseconds(3)), AttemptSignal::Neutral);
        EXPECT_EQ(timedOut(milliseconds(8)), AttemptSignal::Fault);
    });
    test::section("a passed deadline or a caller that disconnected says nothing about the backend server", [] {
        EXPECT_EQ(refused(Reason::DeadlinePassed), AttemptSignal::Neutral);
        EXPECT_EQ(refused(Reason::CallerGone), AttemptSignal::Neutral);
    });
}

} // namespace agatedoor
