#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/membership/fleet_view.hpp"
#include "agatedoor/proxy/attempt.hpp"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

/// @brief Concurrent attempts of one idempotent request on one request thread.
namespace agatedoor {

/// @brief One of several concurrent attempts.
struct RunningAttempt
{
    const BackendEntry *entry = nullptr;
    TimePoint startedAt;
    asio::cancellation_signal cancel;
    bool done = false;
    bool returned = false; ///< next() has returned it.
    AttemptResult result;
};

/// @brief Starts attempts and returns them as they end. The owner must not destroy it while an attempt is in progress;
/// cancelRest() ends them.
class ParallelAttempts
{
public:
    explicit ParallelAttempts(const asio::any_io_executor &executor)
        : m_executor(executor)
        , m_changed(executor)
    {
    }
    ParallelAttempts(const ParallelAttempts &) = delete;
    ParallelAttempts &operator=(const ParallelAttempts &) = delete;

    void start(asio::awaitable<AttemptResult> attempt, const BackendEntry &entry);
    /// @brief Waits for the next attempt to end; null when @p until passes, or when no attempt is pending.
    asio::awaitable<RunningAttempt *> next(Deadline until);
    /// @brief Cancels the attempts in progress, which closes their connections, and waits until all have ended.
    asio::awaitable<void> cancelRest();
    /// @brief True while there is an attempt that next() has not returned.
    bool hasPending() const;
    const std::vector<std::shared_ptr<RunningAttempt>> &all() const { return m_attempts; }

private:
    RunningAttempt *takeFinished();
    bool allFinished() const;

    asio::any_io_executor m_executor;
    asio::steady_timer m_changed; ///< Cancelled whenever an attempt ends.
    std::vector<std::shared_ptr<RunningAttempt>> m_attempts;
};

} // namespace agatedoor
