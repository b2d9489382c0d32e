#include "agatedoor/base/random.hpp"
#include "agatedoor/decide/hedge.hpp"
#include "agatedoor/decide/retry.hpp"
#include "agatedoor/decide/retry_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <cstdlib>

namespace agatedoor {

namespace {

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr int levels = 7;

/// Makes every run check the same cases.
void fixSeed()
{
    ::setenv("RC_PARAMS", "seed=4711 max_success=400", 1);
}

RunOutcome anyOutcome()
{
    return *rc::gen::element(RunOutcome::Answered, RunOutcome::NotRun, RunOutcome::Unknown, RunOutcome::AnswerLost);
}

Reason anyReason()
{
    return *rc::gen::element(Reason::None, Reason::QueueFull, Reason::DeadlineTooShort, Reason::Stopping, Reason::WrongIncarnation, Reason::ConnectFailed,
                             Reason::OfferTimeout, Reason::AnswerTimeout, Reason::ConnectionLost);
}

/// One level of a chain of calls: its retry budget and the attempts that it made.
struct Level
{
    RetryBudget budget;
    std::int64_t attempts = 0;
};

/// Probability in percent that an attempt fails, by level.
using FailurePercents = std::array<int, levels>;

/// True with a probability of @p percent.
bool happens(Random &random, int percent)
{
    return static_cast<int>(uniformIndex(random, 100)) < percent;
}

RetryContext failedView(bool repeat, int attempts, bool budgetAllows)
{
    RetryContext view;
    view.idempotent = true;
    view.repeat = repeat;
    view.lastOutcome = RunOutcome::Unknown;
    view.attempts = attempts;
    view.deadline = deadlineAfter(start, std::chrono::seconds(1));
    view.budgetAllows = budgetAllows;
    return view;
}

/// Handles a request at level @p depth; each attempt makes one call at the next level.
void call(std::array<Level, levels> &chain, const FailurePercents &failurePercents, const RetryBudgetOptions &options, Random &random, std::size_t depth,
          bool arrivedAsRepeat)
{
    if (depth == levels) {
        return;
    }
    Level &level = chain.at(depth);
    arrivedAsRepeat ? recordRepeatedAttempt(level.budget, options) : recordFirstAttempt(level.budget, options);
    bool repeat = arrivedAsRepeat;
    for (int attempts = 1;; ++attempts) {
        ++level.attempts;
        call(chain, failurePercents, options, random, depth + 1, repeat);
        const bool failed = happens(random, failurePercents.at(depth));
        const RetryContext view = failedView(arrivedAsRepeat, attempts, hasToken(level.budget, options));
        if (!failed || decideRetry(view, RetryOptions{}, start) == RetryDecision::Stop) {
            return;
        }
        RC_ASSERT(spendToken(level.budget, options));
        repeat = true;
    }
}

} // namespace

TEST(RetryProperties, ANonIdempotentRequestIsRetriedOnlyWhenItCertainlyDidNotRun)
{
    fixSeed();
    EXPECT_TRUE(rc::check([] {
        RetryContext view;
        TimePoint now = start;
        int possibleRuns = 0;
        view.deadline = deadlineAfter(start, std::chrono::milliseconds(*rc::gen::inRange(0, 2000)));
        view.repeat = *rc::gen::arbitrary<bool>();
        for (;;) {
            RC_ASSERT(!expired(view.deadline, now) || view.attempts == 0);
            ++view.attempts;
            RC_ASSERT(view.attempts <= RetryOptions{}.maxAttempts);
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
            view.lastOutcome = anyOutcome();
            view.lastReason = anyReason();
            view.budgetAllows = *rc::gen::arbitrary<bool>();
            possibleRuns += view.lastOutcome == RunOutcome::NotRun ? 0 : 1;
            const RetryDecision decision = decideRetry(view, RetryOptions{}, now);
            RC_ASSERT(decision != RetryDecision::RetryFromBudget || view.budgetAllows);
            if (decision == RetryDecision::Stop) {
                break;
            }
        }
        RC_ASSERT(possibleRuns <= 1);
    }));
}

TEST(RetryProperties, AHedgeStartsBeforeTheDeadlineAndOnlyForIdempotentFirstRequests)
{
    fixSeed();
    EXPECT_TRUE(rc::check([] {
        HedgeContext view;
        view.idempotent = *rc::gen::arbitrary<bool>();
        view.repeat = *rc::gen::arbitrary<bool>();
        view.attempts = *rc::gen::inRange(1, 5);
        view.startedAt = start;
        view.deadline = deadlineAfter(start, std::chrono::microseconds(*rc::gen::inRange(-1000, 5'000'000)));
        view.tail = std::chrono::microseconds(*rc::gen::inRange(0, 10'000'000));
        const auto hedge = planHedge(view, HedgeOptions{});
        RC_ASSERT(!hedge || (view.idempotent && !view.repeat && view.attempts < HedgeOptions{}.maxAttempts));
        RC_ASSERT(!hedge || (hedge->startAt.at >= start && hedge->startAt < view.deadline));
    }));
}

TEST(RetryProperties, RetriesAreNotMultipliedAcrossSevenLevelsOfCalls)
{
    fixSeed();
    EXPECT_TRUE(rc::check([] {
        constexpr int requests = 3000;
        constexpr double greatestAmplification = 1.1;
        std::array<Level, levels> chain;
        FailurePercents failurePercents{};
        for (auto &percent : failurePercents) {
            percent = *rc::gen::element(0, 1, 10, 50, 100);
        }
        const RetryBudgetOptions options;
        Random random{*rc::gen::arbitrary<std::uint64_t>()};
        for (int i = 0; i < requests; ++i) {
            call(chain, failurePercents, options, random, 0, false);
        }
        const double burstOfAllLevels = levels * (RetryBudget{}.tokens + options.burst);
        for (const auto &level : chain) {
            RC_ASSERT(static_cast<double>(level.attempts) <= greatestAmplification * requests + burstOfAllLevels);
        }
    }));
}

} // namespace agatedoor
