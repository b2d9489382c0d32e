#include "forward.hpp"

#include "agatedoor/decide/hedge.hpp"
#include "attempt_plan.hpp"
#include "extra_attempts.hpp"
#include "parallel_attempts.hpp"
#include "run_attempt.hpp"
#include "suspect.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr Deadline never{TimePoint::max()};

/// Stores the result of an attempt as the request's result. Once an attempt may have run, the outcome of the request is
/// never NotRun.
/// @param first no earlier attempt's result was stored
void applyResult(RequestContext &context, AttemptResult result, bool first)
{
    const RunOutcome before = context.result.outcome;
    context.result = std::move(result);
    if (!first) {
        context.result.outcome = combinedOutcome(before, context.result.outcome);
    }
}

/// Makes one attempt after the other; used for requests that aren't idempotent.
asio::awaitable<void> forwardSequentially(AttemptPlan &plan)
{
    RequestContext &context = plan.context;
    while (const BackendEntry *entry = nextBackend(plan)) {
        countAttempt(plan);
        AttemptResult result = co_await runAttempt(context, *entry, {.repeat = plan.repeat});
        applyResult(context, std::move(result), context.attempts == 1);
        if (!decideNextAttempt(plan)) {
            co_return;
        }
    }
}

/// The next hedge, started unless an answer arrives before; none when the request may not be hedged.
/// @param hedged a hedge was due already, whether it was started or not
std::optional<PlannedHedge> nextHedge(const AttemptPlan &plan, bool hedged)
{
    const RequestContext &context = plan.context;
    HedgeContext view;
    view.idempotent = context.route->idempotent && context.bundle->bundle.budgets.hedges && endsBeside(context) == 0;
    view.repeat = plan.arrivedAsRepeat;
    view.attempts = possibleArrivals(plan);
    view.hedged = hedged;
    view.startedAt = Clock::now();
    view.deadline = context.deadline;
    view.tail = tailOf(context.worker.responseTimes, context.route->key);
    HedgeOptions options;
    options.maxAttempts = std::min(options.maxAttempts, context.route->maxAttempts);
    return planHedge(view, options);
}

/// Starts a hedge on another backend server. When there is no other, hedges over a fresh connection to the same remote
/// backend server. Starts none when there is no such backend server or no token; both may have changed when it is tried again.
void startHedge(AttemptPlan &plan, ParallelAttempts &attempts, const PlannedHedge &hedge)
{
    RequestContext &context = plan.context;
    if (!mayHedge(plan.tokens, plan.budget, hedge.optional)) {
        ++context.worker.metrics.retriesOverBudget;
        return;
    }
    const BackendEntry &slow = *attempts.all().back()->entry;
    const BackendEntry *other = nextBackend(plan);
    if (other == nullptr && slow.node == context.worker.node.settings.node) {
        return;
    }
    spendToken(plan.tokens, plan.budget);
    countAttempt(plan);
    ++context.worker.metrics.hedges;
    const BackendEntry &entry = other == nullptr ? slow : *other;
    const auto connection = other == nullptr ? ConnectionChoice::Fresh : ConnectionChoice::Any;
    attempts.start(runAttempt(context, entry, {.repeat = true, .spareOnly = hedge.optional, .connection = connection}), entry);
}

/// Takes back a hedge that was refused while other attempts go on: it reached no backend server.
void recordRefusedHedge(AttemptPlan &plan, const AttemptResult &result)
{
    const bool refusedForLoad = refusedByOwnerForLoad(result.outcome, result.reason);
    const bool refusedFreely = needsNoRetryToken(result.outcome, result.reason);
    plan.loadRefusals += refusedForLoad ? 1 : 0;
    plan.freeRefusals += refusedFreely ? 1 : 0;
    if (refusedForLoad || refusedFreely) {
        returnToken(plan.tokens, plan.budget);
    }
}

void recordResponseTime(RequestContext &context, const RunningAttempt &attempt)
{
    recordResponseTime(context.worker.responseTimes, context.route->key, Clock::now() - attempt.startedAt);
}

/// Raises the backend server's service time to the time waited for a cancelled attempt. Such an attempt brings no load
/// report, so the backend server would otherwise look fast and idle.
void raiseServiceTime(const RunningAttempt &attempt)
{
    const auto waited = std::chrono::nanoseconds(Clock::now() - attempt.startedAt).count();
    auto &average = attempt.entry->stats->serviceTimeNs;
    if (waited > average.load(std::memory_order_relaxed)) {
        updateAverage(average, waited);
    }
}

/// Cancels the attempts that lost to @p winner and records the time that each was waited for.
asio::awaitable<void> cancelOthers(RequestContext &context, ParallelAttempts &attempts, const RunningAttempt &winner)
{
    context.servedBy = winner.entry->backend;
    recordResponseTime(context, winner);
    for (const auto &attempt : attempts.all()) {
        if (!attempt->done) {
            recordResponseTime(context, *attempt);
            raiseServiceTime(*attempt);
        }
    }
    co_await attempts.cancelRest();
}

/// Waits for the attempts in progress and starts extra attempts and hedges while they are late. True when one of them was answered.
asio::awaitable<bool> awaitAnswer(AttemptPlan &plan, ParallelAttempts &attempts)
{
    RequestContext &context = plan.context;
    const bool first = context.attempts == 1;
    ExtraAttempt extra = planExtraAttempt(plan);
    std::optional<PlannedHedge> hedge = nextHedge(plan, extra.options.share > 0); // Extra attempts take the place of hedges after the tail.
    bool concluded = !first;
    while (attempts.hasPending()) {
        const Deadline hedgeAt = hedge ? hedge->startAt : never;
        const bool extraIsNext = extra.dueAt && extra.dueAt->at < hedgeAt.at;
        RunningAttempt *attempt = co_await attempts.next(extraIsNext ? *extra.dueAt : hedgeAt);
        if (attempt == nullptr) {
            if (extraIsNext) {
                startExtraAttempt(plan, attempts, extra);
            } else {
                startHedge(plan, attempts, *hedge);
            }
            const bool withheld = extraIsNext && extra.running == nullptr;
            hedge = withheld ? hedge : nextHedge(plan, true);
            continue;
        }
        if (attempt == extra.running && attempts.hasPending()) {
            recordRefusedExtraAttempt(plan, extra, attempt->result);
        } else if (attempts.hasPending() && attempt != attempts.all().front().get()) {
            recordRefusedHedge(plan, attempt->result);
        }
        applyResult(context, std::move(attempt->result), !concluded);
        concluded = true;
        if (context.result.outcome == RunOutcome::Answered) {
            const bool hedgeWon = attempt != attempts.all().front().get() && attempt != extra.running && first;
            context.worker.metrics.hedgesWon += hedgeWon ? 1 : 0;
            recordExtraAttemptEnd(plan, extra, attempt);
            co_await cancelOthers(context, attempts, *attempt);
            co_return true;
        }
    }
    recordExtraAttemptEnd(plan, extra, nullptr);
    co_return false;
}

/// Makes attempts with hedges; used for idempotent requests.
asio::awaitable<void> forwardHedged(AttemptPlan &plan)
{
    RequestContext &context = plan.context;
    ParallelAttempts attempts(co_await asio::this_coro::executor);
    while (const BackendEntry *entry = nextBackend(plan)) {
        countAttempt(plan);
        attempts.start(runAttempt(context, *entry, {.repeat = plan.repeat}), *entry);
        if (co_await awaitAnswer(plan, attempts) || !decideNextAttempt(plan)) {
            co_return;
        }
    }
}

} // namespace

asio::awaitable<void> forward(RequestContext &context)
{
    AttemptPlan plan = makeAttemptPlan(context);
    context.result = notRun(Reason::NoBackend);
    if (context.route->idempotent) {
        co_await forwardHedged(plan);
    } else {
        co_await forwardSequentially(plan);
    }
}

} // namespace agatedoor
