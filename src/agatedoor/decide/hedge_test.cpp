#include "agatedoor/decide/hedge.hpp"

#include "agatedoor/base/random.hpp"
#include "agatedoor/decide/quantile_estimate.hpp"
#include "agatedoor/decide/retry_budget.hpp"
#include "support/golden.hpp"
#include "support/story.hpp"

#include <sstream>

namespace agatedoor {

namespace {

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr RetryBudgetOptions budgetOptions{};

/// A part of the session with the same distribution of response times.
struct Phase
{
    std::string name; ///< Written to the golden file.
    int requests = 0;
    std::int64_t usualUs = 0;
    std::int64_t slowUs = 0;
    double slowShare = 0;
};

/// State of a service on which hedging decisions depend, and the text that is compared with the golden file.
struct Session
{
    QuantileEstimate tail;
    RetryBudget budget;
    Random random{7};
    std::ostringstream text;
};

HedgeContext viewAt(TimePoint now, Duration tail)
{
    HedgeContext view;
    view.idempotent = true;
    view.attempts = 1;
    view.startedAt = now;
    view.deadline = deadlineAfter(now, std::chrono::seconds(2));
    view.tail = tail;
    return view;
}

/// Start of the next hedge, which must be planned.
Deadline hedgeStart(const HedgeContext &view)
{
    return planHedge(view, HedgeOptions{}).value().startAt;
}

/// Simulates one request; true when it was hedged.
bool request(Session &session, const Phase &phase)
{
    const bool slow = uniformUnit(session.random) < phase.slowShare;
    const double spread = 0.8 + 0.4 * uniformUnit(session.random);
    const auto took = std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(slow ? phase.slowUs : phase.usualUs) * spread));
    recordFirstAttempt(session.budget, budgetOptions);
    const auto hedge = planHedge(viewAt(start, session.tail.value), HedgeOptions{});
    const bool wanted = hedge && hedge->startAt.at < start + took;
    recordSample(session.tail, QuantileOptions{}, took);
    return wanted && mayHedge(session.budget, budgetOptions, hedge->optional) && spendToken(session.budget, budgetOptions);
}

/// Simulates the requests of a phase and writes one line about them.
void simulate(Session &session, const Phase &phase)
{
    int hedges = 0;
    for (int i = 0; i < phase.requests; ++i) {
        hedges += request(session, phase) ? 1 : 0;
    }
    session.text << phase.name << ": requests " << phase.requests << ", hedges " << hedges << ", tail us " << inMicroseconds(session.tail.value).count()
                 << ", tokens " << static_cast<int>(session.budget.tokens) << "\n";
}

} // namespace

TEST(Hedge, StartsAfterTheTailButWithinAShareOfTheDeadline)
{
    const auto latest = deadlineAfter(start, std::chrono::milliseconds(500));
    test::section("a hedge starts after the service's tail latency",
                  [] { EXPECT_EQ(hedgeStart(viewAt(start, std::chrono::milliseconds(20))), deadlineAfter(start, std::chrono::milliseconds(20))); });
    test::section("it starts at a share of the time to the deadline when the tail is unknown or longer", [&] {
        EXPECT_EQ(hedgeStart(viewAt(start, Duration::zero())), latest);
        EXPECT_EQ(hedgeStart(viewAt(start, std::chrono::seconds(1))), latest);
    });
    test::section("a further hedge waits for that share, however short the tail is", [&] {
        HedgeContext view = viewAt(start, std::chrono::milliseconds(20));
        view.attempts = 2;
        view.hedged = true;
        EXPECT_EQ(hedgeStart(view), latest);
    });
    test::section("a non-idempotent request, a repeat, or a request that has used all attempts is never hedged", [] {
        HedgeContext view = viewAt(start, std::chrono::milliseconds(20));
        view.idempotent = false;
        EXPECT_FALSE(planHedge(view, HedgeOptions{}));
        view = viewAt(start, std::chrono::milliseconds(20));
        view.repeat = true;
        EXPECT_FALSE(planHedge(view, HedgeOptions{}));
        view.repeat = false;
        view.attempts = HedgeOptions{}.maxAttempts;
        EXPECT_FALSE(planHedge(view, HedgeOptions{}));
    });
}

/// Many quick lookups that jitter, beside a few that hang.
TEST(Hedge, WhatIsMerelyLateLeavesTokensToWhatHangs)
{
    RetryBudget budget;
    budget.tokens = budgetOptions.burst;
    test::section("a hedge after the tail is optional, one after the share of the deadline isn't", [] {
        EXPECT_TRUE(planHedge(viewAt(start, std::chrono::milliseconds(20)), HedgeOptions{})->optional);
        EXPECT_FALSE(planHedge(viewAt(start, std::chrono::seconds(1)), HedgeOptions{})->optional);
        EXPECT_FALSE(planHedge(viewAt(start, Duration::zero()), HedgeOptions{})->optional);
        HedgeContext further = viewAt(start, std::chrono::milliseconds(20));
        further.hedged = true;
        EXPECT_FALSE(planHedge(further, HedgeOptions{})->optional);
    });
    test::section("optional hedges spend half of the tokens at most", [&] {
        while (mayHedge(budget, budgetOptions, true)) {
            spendToken(budget, budgetOptions);
        }
        EXPECT_EQ(budget.tokens, budgetOptions.burst / 2);
    });
    test::section("the others spend the rest", [&] {
        int hedges = 0;
        while (mayHedge(budget, budgetOptions, false)) {
            spendToken(budget, budgetOptions);
            ++hedges;
        }
        EXPECT_EQ(hedges, static_cast<int>(budgetOptions.burst / 2));
    });
    test::section("a hedge that reached no backend server gives its token back, up to the burst", [&] {
        returnToken(budget, budgetOptions);
        EXPECT_EQ(budget.tokens, 1.0);
        budget.tokens = budgetOptions.burst;
        returnToken(budget, budgetOptions);
        EXPECT_EQ(budget.tokens, budgetOptions.burst);
    });
}

TEST(Hedge, SessionOfDecisions)
{
    Session session;
    simulate(session, {"steady", 2000, 1000, 1000, 0});
    simulate(session, {"one request in fifty is ten times slower", 2000, 1000, 10'000, 0.02});
    simulate(session, {"one in three is ten times slower", 2000, 1000, 10'000, 0.33});
    simulate(session, {"all are ten times slower", 2000, 10'000, 10'000, 0});
    simulate(session, {"well again", 2000, 1000, 1000, 0});
    test::expectGolden("hedge_session.txt", session.text.str());
}

} // namespace agatedoor
