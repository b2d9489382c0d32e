#include "trial.hpp"

#include "agatedoor/wire/log.hpp"
#include "backend_choice.hpp"
#include "request_content.hpp"
#include "suspect.hpp"
#include "wake_timer.hpp"

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds longestWait{300}; ///< For the store.
constexpr TrialOptions options{};

/// Wait of one request for the right to be a trial. The destructor gives up what nobody took.
class TrialWait
{
public:
    TrialWait(Worker &worker, const RequestTrial &trial)
        : m_trials(worker.node.trials)
        , m_waiter(std::make_shared<TrialWaiter>())
        , m_timer(worker, longestWait)
    {
        m_waiter->trial = trial;
        m_waiter->wake = m_timer.waker();
    }
    ~TrialWait()
    {
        const bool held = m_trials.stopWaiting(m_waiter) == TrialAnswer::Granted;
        if (held && !m_settled) {
            m_trials.giveBack(m_waiter->trial);
        }
    }
    TrialWait(const TrialWait &) = delete;
    TrialWait &operator=(const TrialWait &) = delete;

    /// None when this node has asked a short time ago.
    asio::awaitable<std::optional<TrialAnswer>> answer(Cancellation &cancellation)
    {
        if (!m_trials.ask(m_waiter, Clock::now())) {
            co_return std::nullopt;
        }
        co_await m_timer.wait(cancellation);
        m_settled = true;
        co_return m_trials.stopWaiting(m_waiter);
    }

private:
    SharedTrials &m_trials;
    std::shared_ptr<TrialWaiter> m_waiter;
    WakeTimer m_timer;
    bool m_settled = false;
};

std::string_view wireName(TrialAnswer answer)
{
    switch (answer) {
    case TrialAnswer::Granted:
        return "granted";
    case TrialAnswer::Taken:
        return "taken";
    case TrialAnswer::Unknown:
        return "store-silent";
    }
    return "unnamed";
}

RefusedRequest refusedRequest(const RequestContext &context, TimePoint now)
{
    const NodeState &node = context.worker.node;
    return {context.content, node.backendEnds.suspicionOf(context.content, now), node.answeredRequests.contains(fingerprintOf(context.request, node.edge))};
}

void logAsked(const RequestContext &context, const RefusedRequest &refused, const RequestTrial &trial, TrialAnswer answer)
{
    logDecision("trial-asked",
                {{"request_id", context.id.value},
                 {"content", context.content.value},
                 {"trial", static_cast<std::int64_t>(trial.number)},
                 {"ends", static_cast<std::int64_t>(refused.suspicion.ends)},
                 {"last_end_age_ms", (Clock::now() - refused.suspicion.lastEndAt) / std::chrono::milliseconds(1)},
                 {"answered_before", refused.answeredBefore},
                 {"outcome", std::string(wireName(answer))}});
}

} // namespace

asio::awaitable<bool> beginTrial(RequestContext &context)
{
    NodeState &node = context.worker.node;
    const auto fleet = node.fleet.current();
    const TimePoint now = Clock::now();
    const RefusedRequest refused = refusedRequest(context, now);
    const auto trial = dueTrial(refused, {node.settings.node, fleet->nodes}, now, options);
    if (!trial || chooseEntry(context, *fleet, {}) == nullptr) {
        co_return false;
    }
    TrialWait wait(context.worker, *trial);
    const auto answer = co_await wait.answer(context.cancellation);
    if (!answer) {
        co_return false;
    }
    logAsked(context, refused, *trial, *answer);
    if (*answer == TrialAnswer::Taken) {
        node.backendEnds.expectTrials(context.content, trial->number + 1, deadlineAfter(Clock::now(), options.waitBetween));
    }
    if (*answer != TrialAnswer::Granted) {
        co_return false;
    }
    context.trial.emplace(node.trials, *trial);
    co_return true;
}

void endTrial(RequestContext &context)
{
    if (!context.trial) {
        return;
    }
    const RunOutcome outcome = context.result.outcome;
    const int made = context.trial->trial().number + 1;
    if (acquits(context.result) || outcome == RunOutcome::NotRun) {
        context.trial->giveBack();
    } else {
        context.worker.node.backendEnds.recordTrials(context.content, made, deadlineAfter(Clock::now(), options.waitBetween));
    }
    logDecision("trial-ended",
                {{"request_id", context.id.value},
                 {"content", context.content.value},
                 {"trial", static_cast<std::int64_t>(made - 1)},
                 {"backend", context.servedBy.value},
                 {"reason", std::string(wireName(context.result.reason))},
                 {"outcome", std::string(wireName(outcome))}});
    context.trial.reset();
}

} // namespace agatedoor
