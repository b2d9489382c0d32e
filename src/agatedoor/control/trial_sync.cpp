#include "trial_sync.hpp"

namespace agatedoor {

namespace {

constexpr std::string_view trialPrefix = "/agatedoor/trials/";
constexpr std::chrono::milliseconds callTimeout{200}; ///< The request that is to be the trial waits.
constexpr std::chrono::seconds leaseTtl = std::chrono::duration_cast<std::chrono::seconds>(BackendEndOptions{}.retention);

Deadline callDeadline()
{
    return deadlineAfter(Clock::now(), callTimeout);
}

std::string keyOf(const RequestTrial &trial)
{
    return std::string(trialPrefix) + trial.content.value + "/" + std::to_string(trial.number);
}

} // namespace

TrialSync::TrialSync(NodeState &node, const Store &store, StoreCalls &calls)
    : m_node(node)
    , m_store(store)
    , m_calls(calls)
    , m_thread([this] { run(); })
{
}

TrialSync::~TrialSync()
{
    m_node.trials.close();
    m_thread.join();
}

void TrialSync::run()
{
    while (const auto work = m_node.trials.waitForWork()) {
        if (const auto *asked = std::get_if<AskForTrial>(&*work)) {
            m_node.trials.reply(asked->trial, ask(asked->trial));
        } else {
            giveBack(std::get<GiveTrialBack>(*work).trial);
        }
    }
}

/// Creates the trial's key, unless it is there: many nodes may ask at once, and reads cost the store less. Without an answer the key may have
/// been created; the trial is lost to all then.
TrialAnswer TrialSync::ask(const RequestTrial &trial)
{
    const auto found = m_store.range(keyOf(trial), callDeadline());
    if (!m_calls.record(StoreCall::ReadTrial, found)) {
        return TrialAnswer::Unknown;
    }
    if (!found.value().values.empty()) {
        return TrialAnswer::Taken;
    }
    const auto lease = m_store.grantLease(leaseTtl, callDeadline());
    if (!m_calls.record(StoreCall::GrantLease, lease)) {
        return TrialAnswer::Unknown;
    }
    const StoreTransaction create{
        .conditions = {{keyOf(trial), 0}}, .puts = {{keyOf(trial), m_node.settings.node.value, lease.value().id}}, .era = lease.value().era};
    const auto created = m_store.transact(create, callDeadline());
    if (!m_calls.record(StoreCall::AskForTrial, created)) {
        return TrialAnswer::Unknown;
    }
    if (!created.value().applied) {
        return TrialAnswer::Taken;
    }
    m_granted[trial] = {created.value().revision, lease.value().era};
    return TrialAnswer::Granted;
}

/// Removes the trial's key, unless it is another one by now. If that fails, the key lapses by itself.
void TrialSync::giveBack(const RequestTrial &trial)
{
    const auto granted = m_granted.extract(trial);
    if (granted.empty()) {
        return;
    }
    const StoreTransaction removal{
        .conditions = {{keyOf(trial), granted.mapped().revision}}, .puts = {}, .removes = {keyOf(trial)}, .era = granted.mapped().era};
    (void)m_calls.record(StoreCall::GiveTrialBack, m_store.transact(removal, callDeadline()));
}

} // namespace agatedoor
