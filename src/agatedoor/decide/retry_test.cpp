#include "agatedoor/decide/retry.hpp"

#include "support/story.hpp"

namespace agatedoor {

namespace {

constexpr TimePoint now{std::chrono::seconds(100)};

RetryContext viewAfter(RunOutcome outcome, bool idempotent)
{
    RetryContext view;
    view.idempotent = idempotent;
    view.lastOutcome = outcome;
    view.attempts = 1;
    view.deadline = deadlineAfter(now, std::chrono::seconds(1));
    view.budgetAllows = true;
    return view;
}

bool retried(RunOutcome outcome, bool idempotent)
{
    return decideRetry(viewAfter(outcome, idempotent), RetryOptions{}, now) != RetryDecision::Stop;
}

} // namespace

TEST(Retry, RetriesOnlyWhenItIsSafe)
{
    test::section("a non-idempotent request", [] {
        test::section("is retried when it certainly did not run", [] { EXPECT_TRUE(retried(RunOutcome::NotRun, false)); });
        test::section("is never retried when it may have run", [] {
            EXPECT_FALSE(retried(RunOutcome::Unknown, false));
            EXPECT_FALSE(retried(RunOutcome::AnswerLost, false));
            EXPECT_FALSE(retried(RunOutcome::Answered, false));
        });
    });
    test::section("an idempotent request is retried after any failure", [] {
        EXPECT_TRUE(retried(RunOutcome::NotRun, true));
        EXPECT_TRUE(retried(RunOutcome::Unknown, true));
        EXPECT_TRUE(retried(RunOutcome::AnswerLost, true));
        EXPECT_FALSE(retried(RunOutcome::Answered, true));
    });
    test::section("no request is retried", [] {
        RetryContext view = viewAfter(RunOutcome::NotRun, true);
        test::section("after the deadline", [&] { EXPECT_EQ(decideRetry(view, RetryOptions{}, view.deadline.at), RetryDecision::Stop); });
        test::section("without a token in the budget", [&] {
            view.budgetAllows = false;
            EXPECT_EQ(decideRetry(view, RetryOptions{}, now), RetryDecision::Stop);
        });
        test::section("after the largest number of attempts", [&] {
            view.budgetAllows = true;
            view.attempts = RetryOptions{}.maxAttempts;
            EXPECT_EQ(decideRetry(view, RetryOptions{}, now), RetryDecision::Stop);
        });
        test::section("when it arrived as a retry", [&] {
            view = viewAfter(RunOutcome::NotRun, true);
            view.repeat = true;
            EXPECT_EQ(decideRetry(view, RetryOptions{}, now), RetryDecision::Stop);
        });
    });
}

TEST(Retry, TakesATokenUnlessNothingReachedABackendServer)
{
    RetryContext view = viewAfter(RunOutcome::NotRun, false);
    test::section("a retry after a refusal because of load takes a token", [&] {
        for (const auto reason : {Reason::QueueFull, Reason::DeadlineTooShort, Reason::OfferTimeout, Reason::MemoryLimit}) {
            view.lastReason = reason;
            EXPECT_EQ(decideRetry(view, RetryOptions{}, now), RetryDecision::RetryFromBudget) << wireName(reason);
        }
    });
    test::section("after a refusal by an owning node, the number of retries set in the bundle needs no token, as they cost no backend server any work", [&] {
        view.budgetAllows = false;
        view.lastReason = Reason::QueueFull;
        RetryOptions tryingOthers;
        tryingOthers.roomSearches = 2;
        view.attempts = view.loadRefusals = 2;
        EXPECT_EQ(decideRetry(view, tryingOthers, now), RetryDecision::Retry);
        view.attempts = view.loadRefusals = 3;
        EXPECT_EQ(decideRetry(view, tryingOthers, now), RetryDecision::Stop);
        view.attempts = view.loadRefusals = 1;
        EXPECT_EQ(decideRetry(view, RetryOptions{}, now), RetryDecision::Stop) << "unless the bundle allows it";
        view = viewAfter(RunOutcome::NotRun, false);
    });
    test::section("a retry after a refusal due to an out-of-date view of the fleet takes none, and is limited by the number of attempts", [&] {
        view.budgetAllows = false;
        view.repeat = true;
        for (const auto reason : {Reason::Stopping, Reason::BackendDraining, Reason::WrongIncarnation, Reason::WrongTarget, Reason::ConnectFailed}) {
            view.lastReason = reason;
            EXPECT_EQ(decideRetry(view, RetryOptions{}, now), RetryDecision::Retry) << wireName(reason);
        }
        view.attempts = RetryOptions{}.maxAttempts;
        EXPECT_EQ(decideRetry(view, RetryOptions{}, now), RetryDecision::Stop);
    });
    test::section("the same reason takes a token when the request may have run",
                  [] { EXPECT_FALSE(needsNoRetryToken(RunOutcome::Unknown, Reason::ConnectionLost)); });
}

TEST(Retry, IsReportedAsNotRunOnlyWhenNoAttemptRan)
{
    EXPECT_EQ(combinedOutcome(RunOutcome::NotRun, RunOutcome::NotRun), RunOutcome::NotRun);
    EXPECT_EQ(combinedOutcome(RunOutcome::Unknown, RunOutcome::NotRun), RunOutcome::Unknown);
    EXPECT_EQ(combinedOutcome(RunOutcome::NotRun, RunOutcome::Unknown), RunOutcome::Unknown);
    EXPECT_EQ(combinedOutcome(RunOutcome::AnswerLost, RunOutcome::NotRun), RunOutcome::AnswerLost);
    EXPECT_EQ(combinedOutcome(RunOutcome::Unknown, RunOutcome::Answered), RunOutcome::Answered);
}

} // namespace agatedoor
