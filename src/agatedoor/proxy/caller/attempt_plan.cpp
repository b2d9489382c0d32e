#include "attempt_plan.hpp"

#include "agatedoor/proxy/headers.hpp"
#include "agatedoor/wire/log.hpp"
#include "backend_choice.hpp"
#include "suspect.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr PaceSearchOptions searchOptions{};
constexpr double maxTokens = 10; ///< Most tokens that one request thread holds for a service.

/// Retry budget of one request thread. The burst of retries that the fleet may make at once is divided equally among all
/// request threads.
RetryBudgetOptions budgetOf(const RequestContext &context, const FleetView &fleet)
{
    constexpr double hundredths = 100.0;
    const Settings &settings = context.worker.node.settings;
    const double allowed = static_cast<double>(context.bundle->bundle.budgets.retries.value) / hundredths;
    const double nodeBurst = settings.retryBurst / static_cast<double>(fleet.nodes * settings.threads);
    return {std::min(settings.retryShare, allowed), std::clamp(nodeBurst, 1.0, maxTokens)};
}

/// Share of extra attempts that the bundle names, or else the node's settings.
ExtraAttemptOptions extraAttemptsOf(const RequestContext &context)
{
    constexpr double hundredths = 100.0;
    const Percent named = context.bundle->bundle.budgets.extraAttempts;
    const Percent percent = named.value > 0 ? named : context.worker.node.settings.extraAttempts;
    ExtraAttemptOptions options;
    options.share = static_cast<double>(percent.value) / hundredths;
    return options;
}

void updateBudget(const AttemptPlan &plan)
{
    if (plan.arrivedAsRepeat) {
        recordRepeatedAttempt(plan.tokens, plan.budget);
        ++plan.context.worker.metrics.arrivedRepeats;
    } else {
        recordFirstAttempt(plan.tokens, plan.budget);
        if (plan.extraAttempts.share > 0) {
            recordFirstAttempt(plan.context.worker.extraAttempts[plan.context.service->name], plan.extraAttempts);
        }
    }
}

/// Time by which the caller wants the response: the route's latency target, or else the deadline.
Deadline answerBy(const RequestContext &context)
{
    const Duration latencyTarget = context.route->latencyTarget;
    return latencyTarget > Duration::zero() ? deadlineAfter(context.arrivedAt, latencyTarget) : context.deadline;
}

/// Goes to the next step of the search for a VM that isn't slow, in which every backend server may be tried again.
void advanceSearch(AttemptPlan &plan)
{
    RequestContext &context = plan.context;
    const SearchConstraints bounds = advanceSearch(plan.search, searchOptions, answerBy(context), context.deadline, Clock::now());
    plan.tried.clear();
    context.nearOnly = bounds.nearOnly;
    context.last = bounds.last;
    context.holdUntil = bounds.holdUntil;
}

RetryContext retryView(const AttemptPlan &plan)
{
    const RequestContext &context = plan.context;
    RetryContext view;
    view.idempotent = context.route->idempotent;
    view.repeat = plan.arrivedAsRepeat;
    view.lastOutcome = context.result.outcome;
    view.lastReason = context.result.reason;
    view.attempts = context.attempts;
    view.freeRefusals = plan.freeRefusals;
    view.loadRefusals = plan.loadRefusals;
    view.endsBeside = endsBeside(context);
    view.deadline = context.deadline;
    view.budgetAllows = hasToken(plan.tokens, plan.budget);
    return view;
}

/// Counts a refusal by its kind. After a refusal because of load, other regions may be tried too.
void recordRefusal(AttemptPlan &plan)
{
    const AttemptResult &result = plan.context.result;
    if (refusedByOwnerForLoad(result.outcome, result.reason)) {
        ++plan.loadRefusals;
        plan.context.nearOnly = false;
    }
    if (result.reason == Reason::RequestLimit || result.reason == Reason::BackendCold || result.reason == Reason::ZoneEvacuated) {
        plan.context.nearOnly = false;
    }
    const bool wantsRoom
        = refusedByOwnerForLoad(result.outcome, result.reason) || result.reason == Reason::RequestLimit || result.reason == Reason::BackendCold;
    if (wantsRoom && plan.extraAttempts.share > 0) {
        recordRefusal(plan.context.worker.extraAttempts[plan.context.service->name], Clock::now());
    }
    plan.search.slowMet += result.reason == Reason::BackendSlow ? 1 : 0;
    plan.freeRefusals += needsNoRetryToken(result.outcome, result.reason) ? 1 : 0;
}

std::string_view decisionName(RetryDecision decision)
{
    switch (decision) {
    case RetryDecision::Stop:
        return "stop";
    case RetryDecision::Retry:
        return "retry";
    case RetryDecision::RetryFromBudget:
        return "retry-from-budget";
    }
    return "unnamed";
}

/// Logs an attempt that was not answered, and whether it is retried.
void logAttempt(const AttemptPlan &plan, RetryDecision decision)
{
    const RequestContext &context = plan.context;
    logDecision("attempt",
                {{"request_id", context.id.value},
                 {"attempt", static_cast<std::int64_t>(context.attempts)},
                 {"backend", context.servedBy.value},
                 {"reason", std::string(wireName(context.result.reason))},
                 {"bundle", static_cast<std::int64_t>(context.bundle->head.generation.value)},
                 {"retry_tokens_percent", static_cast<std::int64_t>(plan.tokens.tokens * 100)},
                 {"time_left_us", inMicroseconds(remaining(context.deadline, Clock::now())).count()},
                 {"decision", std::string(decisionName(decision))},
                 {"outcome", std::string(wireName(context.result.outcome))}});
}

} // namespace

AttemptPlan makeAttemptPlan(RequestContext &context)
{
    const bool repeat = header::number(context.request, header::repeat).value_or(0) != 0;
    auto fleet = context.worker.node.fleet.current();
    const RetryBudgetOptions budget = budgetOf(context, *fleet);
    RetryOptions retries;
    retries.maxAttempts = context.route->maxAttempts;
    retries.roomSearches = context.bundle->bundle.budgets.roomSearches;
    AttemptPlan plan{context, std::move(fleet),        budget, context.worker.retryBudgets[context.service->name], retries, repeat, repeat, 0, 0, false, {},
                     {},      extraAttemptsOf(context)};
    updateBudget(plan);
    return plan;
}

int possibleArrivals(const AttemptPlan &plan)
{
    return plan.context.attempts - plan.freeRefusals - plan.loadRefusals;
}

const BackendEntry *nextBackend(AttemptPlan &plan)
{
    const bool enough = stepExhausted(plan.search, searchOptions);
    const BackendEntry *entry = enough ? nullptr : chooseEntry(plan.context, *plan.fleet, plan.tried);
    while (entry == nullptr && hasNextStep(plan.search)) {
        advanceSearch(plan);
        entry = chooseEntry(plan.context, *plan.fleet, plan.tried);
    }
    if (entry != nullptr) {
        plan.tried.push_back(entry->backend);
        plan.context.servedBy = entry->backend;
    }
    return entry;
}

void countAttempt(AttemptPlan &plan)
{
    if (plan.needsToken) {
        spendToken(plan.tokens, plan.budget);
        plan.needsToken = false;
    }
    ++plan.context.attempts;
    ++plan.context.worker.metrics.attempts;
}

bool decideNextAttempt(AttemptPlan &plan)
{
    Metrics &metrics = plan.context.worker.metrics;
    recordRefusal(plan);
    RetryContext view = retryView(plan);
    const RetryDecision decision = decideRetry(view, plan.retries, Clock::now());
    if (view.lastOutcome != RunOutcome::Answered) {
        logAttempt(plan, decision);
    }
    if (decision == RetryDecision::RetryFromBudget) {
        plan.repeat = true;
        plan.needsToken = true;
    }
    if (decision != RetryDecision::Stop) {
        ++metrics.retries;
        return true;
    }
    view.budgetAllows = true;
    const bool stoppedByBudgetOnly = decideRetry(view, plan.retries, Clock::now()) != RetryDecision::Stop;
    metrics.retriesOverBudget += stoppedByBudgetOnly ? 1 : 0;
    return false;
}

} // namespace agatedoor
