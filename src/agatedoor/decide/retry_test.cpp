#include "agatedoor/decide/retry.hpp"

#include "support/story.hpp"

namespace agatedoor {

namespace {

constexpr TimePoint now{std::chrono::seconds(100)};

RetryContext contextAfter(RunOutcome outcome, bool idempotent)
{
    RetryContext context;
    context.idempotent = idempotent;
    context.lastOutcome = outcome;
    context.attempts = 1;
    context.deadline = deadlineAfter(now, std::chrono::seconds(1));
    context.budgetAllows = true;
    return context;
}

bool retried(RunOutcome outcome, bool idempotent)
{
    return decideRetry(contextAfter(outcome, idempotent), RetryOptions{}, now) != RetryDecision::Stop;
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
    test::section("a request beside the end of a backend server", [] {
        RetryContext context = contextAfter(RunOutcome::Unknown, true);
        context.lastReason = Reason::BackendEnded;
        context.endsBeside = 1;
        test::section("is retried once, since most such requests didn't cause it",
                      [&] { EXPECT_NE(decideRetry(context, RetryOptions{}, now), RetryDecision::Stop); });
        test::section("isn't sent to a third backend server when a second has ended, by its own attempts or by those of others", [&] {
            context.endsBeside = 2;
            EXPECT_EQ(decideRetry(context, RetryOptions{}, now), RetryDecision::Stop);
            context.lastOutcome = RunOutcome::NotRun;
            context.lastReason = Reason::ConnectFailed;
            EXPECT_EQ(decideRetry(context, RetryOptions{}, now), RetryDecision::Stop);
        });
    });
    test::section("an idempotent request is retried after any failure", [] {
        EXPECT_TRUE(retried(RunOutcome::NotRun, true));
        EXPECT_TRUE(retried(RunOutcome::Unknown, true));
        EXPECT_TRUE(retried(RunOutcome::AnswerLost, true));
        EXPECT_FALSE(retried(RunOutcome::Answered, true));
    });
    test::section("no request is retried", [] {
        RetryContext context = contextAfter(RunOutcome::NotRun, true);
        test::section("after the deadline", [&] { EXPECT_EQ(decideRetry(context, RetryOptions{}, context.deadline.at), RetryDecision::Stop); });
        test::section("without a token in the budget", [&] {
            context.budgetAllows = false;
            EXPECT_EQ(decideRetry(context, RetryOptions{}, now), RetryDecision::Stop);
        });
        test::section("after the maximum number of attempts", [&] {
            context.budgetAllows = true;
            context.attempts = RetryOptions{}.maxAttempts;
            EXPECT_EQ(decideRetry(context, RetryOptions{}, now), RetryDecision::Stop);
        });
        test::section("when it arrived as a retry and another attempt would take a token", [&] {
            context = contextAfter(RunOutcome::NotRun, true);
            context.repeat = true;
            EXPECT_EQ(decideRetry(context, RetryOptions{}, now), RetryDecision::Stop);
        });
    });
}

TEST(Retry, TakesATokenUnlessTheRefusalIsExempt)
{
    RetryContext context = contextAfter(RunOutcome::NotRun, false);
    test::section("by default a retry after a refusal because of load takes a token", [&] {
        for (const auto reason : {Reason::QueueFull, Reason::DeadlineTooShort, Reason::OfferTimeout, Reason::MemoryLimit}) {
            context.lastReason = reason;
            EXPECT_EQ(decideRetry(context, RetryOptions{}, now), RetryDecision::RetryFromBudget) << wireName(reason);
        }
    });
    test::section("the bundle can exempt the first retries after refusals for load by owning nodes, since these cost no backend server any work", [&] {
        context.budgetAllows = false;
        context.lastReason = Reason::QueueFull;
        RetryOptions withExemptRetries;
        withExemptRetries.roomSearches = 2;
        context.attempts = context.loadRefusals = 2;
        EXPECT_EQ(decideRetry(context, withExemptRetries, now), RetryDecision::Retry);
        context.attempts = context.loadRefusals = 3;
        EXPECT_EQ(decideRetry(context, withExemptRetries, now), RetryDecision::Stop);
        context.attempts = context.loadRefusals = 1;
        EXPECT_EQ(decideRetry(context, RetryOptions{}, now), RetryDecision::Stop) << "by default the bundle exempts none";
        context = contextAfter(RunOutcome::NotRun, false);
    });
    test::section("a retry after a refusal due to an out-of-date view of the fleet takes none, and is limited by the number of attempts", [&] {
        context.budgetAllows = false;
        context.repeat = true;
        for (const auto reason : {Reason::Stopping, Reason::BackendDraining, Reason::WrongIncarnation, Reason::WrongTarget, Reason::ConnectFailed}) {
            context.lastReason = reason;
            EXPECT_EQ(decideRetry(context, RetryOptions{}, now), RetryDecision::Retry) << wireName(reason);
        }
        context.attempts = RetryOptions{}.maxAttempts;
        EXPECT_EQ(decideRetry(context, RetryOptions{}, now), RetryDecision::Stop);
    });
    test::section("a retry after a lost connection takes a token when the request may have run",
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
