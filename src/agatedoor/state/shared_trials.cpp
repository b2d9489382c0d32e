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
    if (!waiter->ended) {
        waiter->ended = true;
        m_waiters.erase(waiter->trial);
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
    const auto waiter = [&] {
        const std::lock_guard lock(m_mutex);
        auto taken = takeWaiter(trial);
        if (taken) {
            taken->ended = true;
            taken->answer = answer;
        }
        return taken;
    }();
    if (waiter) {
        waiter->wake();
    } else if (answer == TrialAnswer::Granted) {
        giveBack(trial);
    }
}

/// Call with the mutex held.
std::shared_ptr<TrialWaiter> SharedTrials::takeWaiter(const RequestTrial &trial)
{
    const auto found = m_waiters.extract(trial);
    return found.empty() ? nullptr : found.mapped();
}

void SharedTrials::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_workAvailable.notify_all();
}

} // namespace agatedoor
