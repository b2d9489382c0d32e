#pragma once

#include "agatedoor/state/request_trial.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

/// @brief The trials that this node asks the store for and those it holds, shared by request threads and the thread that calls the store.
namespace agatedoor {

/// @brief What asking for a trial came to.
enum class TrialAnswer {
    Unknown, ///< Nothing yet, or the store didn't answer.
    Granted, ///< This node, and no other, may make it.
    Taken, ///< Another node makes it or has made it.
};

/// @brief One request that waits to learn whether it may be the trial; guarded by the mutex of SharedTrials.
struct TrialWaiter
{
    RequestTrial trial;
    TrialAnswer answer = TrialAnswer::Unknown;
    std::function<void()> wake; ///< Called on any thread, without the mutex, when the wait ends.
};

/// @brief Asks the store for a trial.
struct AskForTrial
{
    RequestTrial trial;
};

/// @brief Gives a trial back that wasn't made, or that was answered, so that there can be one again.
struct GiveTrialBack
{
    RequestTrial trial;
};

using TrialWork = std::variant<AskForTrial, GiveTrialBack>;

/// @brief Thread-safe. A node asks for one trial of a request at a time, and not again for some time when it got none.
class SharedTrials
{
public:
    /// @brief Asks for the trial of @p waiter; false when this node has asked for one of the same request a short time ago.
    bool ask(const std::shared_ptr<TrialWaiter> &waiter, TimePoint now);
    /// @brief Ends the wait of @p waiter, if it waits. When it came to Granted, the caller holds the trial.
    TrialAnswer stopWaiting(const std::shared_ptr<TrialWaiter> &waiter);
    /// @brief Gives a held trial back.
    void giveBack(const RequestTrial &trial);

    /// @brief Waits for work of the thread that calls the store; none once close() was called.
    std::optional<TrialWork> waitForWork();
    /// @brief Tells the request that waits for @p trial what the store said. A trial that nobody waits for any more is given back.
    void reply(const RequestTrial &trial, TrialAnswer answer);
    void close();

private:
    std::shared_ptr<TrialWaiter> endWait(const RequestTrial &trial, TrialAnswer answer);

    std::mutex m_mutex;
    std::condition_variable m_workAvailable;
    bool m_closed = false;
    std::deque<TrialWork> m_work;
    std::map<RequestTrial, std::shared_ptr<TrialWaiter>> m_waiters;
    std::map<ContentDigest, Deadline> m_askAgainAt;
};

/// @brief A trial that was granted to this node. It is given back on destruction if it wasn't begun.
class HeldTrial
{
public:
    HeldTrial(SharedTrials &trials, RequestTrial trial)
        : m_trials(trials)
        , m_trial(std::move(trial))
    {
    }
    ~HeldTrial()
    {
        if (!m_begun) {
            giveBack();
        }
    }
    HeldTrial(const HeldTrial &) = delete;
    HeldTrial &operator=(const HeldTrial &) = delete;

    const RequestTrial &trial() const { return m_trial; }
    /// @brief The request is about to be sent. From now on the trial counts, unless it is given back.
    void begin() { m_begun = true; }
    void giveBack() { m_trials.giveBack(m_trial); }

private:
    SharedTrials &m_trials;
    RequestTrial m_trial;
    bool m_begun = false;
};

} // namespace agatedoor
