#include "extra_attempts.hpp"

#include "agatedoor/wire/log.hpp"
#include "backend_choice.hpp"
#include "run_attempt.hpp"
#include "suspect.hpp"

#include <string>

namespace agatedoor {

namespace {

ExtraAttemptBudget &budgetOf(const AttemptPlan &plan)
{
    return plan.context.worker.extraAttempts[plan.context.service->name];
}

/// One line for each extra attempt, written when it is known what came of it.
void logExtraAttempt(const AttemptPlan &plan, const ExtraAttempt &extra, std::string_view outcome)
{
    const RequestContext &context = plan.context;
    logDecision("extra-attempt",
                {{"request_id", context.id.value},
                 {"backend", extra.running->entry->backend.value},
                 {"bundle", static_cast<std::int64_t>(context.bundle->head.generation.value)},
                 {"tail_us", inMicroseconds(extra.tail).count()},
                 {"waited_us", inMicroseconds(extra.waited).count()},
                 {"took_us", inMicroseconds(Clock::now() - extra.lateSince).count()},
                 {"tokens_percent", static_cast<std::int64_t>(budgetOf(plan).tokens * 100)},
                 {"retry_tokens_percent", static_cast<std::int64_t>(plan.tokens.tokens * 100)},
                 {"outcome", std::string(outcome)}});
}

/// Another backend server than those tried. Not in another region, unless the late attempt went there: these links are narrow.
const BackendEntry *chooseOther(AttemptPlan &plan, const BackendEntry &late)
{
    const BackendEntry *other = chooseEntry(plan.context, *plan.fleet, plan.tried);
    const bool staysNear = other != nullptr && (other->locality != Locality::OtherRegion || late.locality == Locality::OtherRegion);
    return staysNear ? other : nullptr;
}

} // namespace

ExtraAttempt planExtraAttempt(const AttemptPlan &plan)
{
    const RequestContext &context = plan.context;
    ExtraAttempt extra;
    extra.options = plan.extraAttempts;
    extra.lateSince = Clock::now();
    extra.tail = tailOf(context.worker.responseTimes, context.route->key);
    LateRequest request;
    request.idempotent = context.route->idempotent;
    request.repeat = plan.arrivedAsRepeat;
    request.attempts = possibleArrivals(plan);
    request.maxAttempts = context.route->maxAttempts;
    request.endsBeside = endsBeside(context);
    request.startedAt = extra.lateSince;
    request.deadline = context.deadline;
    request.tail = extra.tail;
    extra.dueAt = planExtraAttempt(request, extra.options);
    return extra;
}

void startExtraAttempt(AttemptPlan &plan, ParallelAttempts &attempts, ExtraAttempt &extra)
{
    RequestContext &context = plan.context;
    const TimePoint now = Clock::now();
    extra.dueAt.reset();
    ExtraAttemptBudget &budget = budgetOf(plan);
    const bool allowed = endsBeside(context) == 0 && decideExtraAttempt(budget, extra.options, plan.tokens, plan.budget, now) == ExtraAttemptVerdict::Make;
    const BackendEntry *other = allowed ? chooseOther(plan, *attempts.all().back()->entry) : nullptr;
    if (other == nullptr) {
        ++context.worker.metrics.extraAttemptsWithheld;
        return;
    }
    plan.tried.push_back(other->backend);
    takeTokens(budget, plan.tokens, plan.budget);
    countAttempt(plan);
    ++context.worker.metrics.extraAttempts;
    extra.waited = now - extra.lateSince;
    attempts.start(runAttempt(context, *other, {.repeat = true, .spareOnly = true}), *other);
    extra.running = attempts.all().back().get();
}

void recordRefusedExtraAttempt(AttemptPlan &plan, const ExtraAttempt &extra, const AttemptResult &result)
{
    const bool refusedForLoad = refusedByOwnerForLoad(result.outcome, result.reason);
    const bool refusedFreely = needsNoRetryToken(result.outcome, result.reason);
    if (!refusedForLoad && !refusedFreely) {
        return;
    }
    plan.loadRefusals += refusedForLoad ? 1 : 0;
    plan.freeRefusals += refusedFreely ? 1 : 0;
    returnTokens(budgetOf(plan), extra.options, plan.tokens, plan.budget);
    recordRefusal(budgetOf(plan), Clock::now());
}

void recordExtraAttemptEnd(const AttemptPlan &plan, const ExtraAttempt &extra, const RunningAttempt *winner)
{
    if (extra.running == nullptr) {
        return;
    }
    Metrics &metrics = plan.context.worker.metrics;
    const bool refused = extra.running->returned && extra.running->result.outcome == RunOutcome::NotRun;
    metrics.extraAttemptsWon += winner == extra.running ? 1 : 0;
    metrics.extraAttemptsRefused += refused ? 1 : 0;
    std::string_view outcome = winner == nullptr ? "failed" : "lost";
    if (refused) {
        outcome = "refused";
    } else if (winner == extra.running) {
        outcome = "won";
    }
    logExtraAttempt(plan, extra, outcome);
}

} // namespace agatedoor
