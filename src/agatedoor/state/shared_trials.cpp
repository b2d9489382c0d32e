#include "agatedoor/state/shared_trials.hpp"

#include <utility>

namespace agatedoor {

namespace {

constexpr std::chrono::seconds askAgainAfter{1};

} // namespace

bool SharedTrials::ask(const std::shared_ptr<TrialWaiter> &waiter, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_askAgainAt, [now](const auto &entry) { return expired(entry.second, now); });
    const bool isFirst = m_askAgainAt.try_emplace(waiter->trial.content, deadlineAfter(now, askAgainAfter)).second;
    if (!isFirst || m_closed || m_waiters.contains(waiter->trial)) {
        return false;
    }
    m_waiters[waiter->trial] = waiter;
    m_work.emplace_back(AskForTrial{waiter->trial});
    m_workAvailable.notify_one();
    return true;
}

TrialAnswer SharedTrials::stopWaiting(const std::shared_ptr<TrialWaiter> &waiter)
{
    const std::lock_guard lock(m_mutex);
    const auto waiting = m_waiters.find(waiter->trial);
    if (waiting != m_waiters.end() && waiting->second == waiter) {
        m_waiters.erase(waiting);
    }
    return waiter->answer;
}

void SharedTrials::giveBack(const RequestTrial &trial)
{
    const std::lock_guard lock(m_mutex);
    m_work.emplace_back(GiveTrialBack{trial});
    m_workAvailable.notify_one();
}

std::optional<TrialWork> SharedTrials::waitForWork()
{
    std::unique_lock lock(m_mutex);
    m_workAvailable.wait(lock, [this] { return m_closed || !m_work.empty(); });
    if (m_closed) {
        return std::nullopt;
    }
    TrialWork work = std::move(m_work.front());
    m_work.pop_front();
    return work;
}

void SharedTrials::reply(const RequestTrial &trial, TrialAnswer answer)
{
    const auto waiter = endWait(trial, answer);
    if (waiter) {
        waiter->wake();
    } else if (answer == TrialAnswer::Granted) {
        giveBack(trial);
    }
}

/// Returns the waiter that got the answer; null when nobody waits any more.
std::shared_ptr<TrialWaiter> SharedTrials::endWait(const RequestTrial &trial, TrialAnswer answer)
{
    const std::lock_guard lock(m_mutex);
    const auto waiting = m_waiters.extract(trial);
    if (waiting.empty()) {
        return nullptr;
    }
    waiting.mapped()->answer = answer;
    return waiting.mapped();
}

void SharedTrials::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_workAvailable.notify_all();
}

} // namespace agatedoor
