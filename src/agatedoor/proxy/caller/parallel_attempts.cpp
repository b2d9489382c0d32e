#include "parallel_attempts.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>

#include <algorithm>

namespace agatedoor {

void ParallelAttempts::start(asio::awaitable<AttemptResult> attempt, const BackendEntry &entry)
{
    const auto runner = std::make_shared<RunningAttempt>();
    runner->entry = &entry;
    runner->startedAt = Clock::now();
    m_attempts.push_back(runner);
    auto finished = [this, runner](const std::exception_ptr &failure, AttemptResult result) {
        runner->result = failure ? unknownOutcome(Reason::ConnectionLost) : std::move(result);
        runner->done = true;
        m_changed.cancel();
    };
    asio::co_spawn(m_executor, std::move(attempt), asio::bind_cancellation_slot(runner->cancel.slot(), std::move(finished)));
}

asio::awaitable<RunningAttempt *> ParallelAttempts::next(Deadline until)
{
    while (hasPending()) {
        if (RunningAttempt *runner = takeFinished()) {
            co_return runner;
        }
        if (expired(until, Clock::now())) {
            co_return nullptr;
        }
        error_code ignored;
        m_changed.expires_at(until.at);
        co_await m_changed.async_wait(into(ignored));
    }
    co_return nullptr;
}

asio::awaitable<void> ParallelAttempts::cancelRest()
{
    for (const auto &runner : m_attempts) {
        if (!runner->done) {
            runner->cancel.emit(asio::cancellation_type::terminal);
        }
    }
    while (!allFinished()) {
        error_code ignored;
        m_changed.expires_at(TimePoint::max());
        co_await m_changed.async_wait(into(ignored));
    }
}

bool ParallelAttempts::hasPending() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(), [](const auto &runner) { return !runner->returned; });
}

RunningAttempt *ParallelAttempts::takeFinished()
{
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), [](const auto &runner) { return runner->done && !runner->returned; });
    if (found == m_attempts.end()) {
        return nullptr;
    }
    (*found)->returned = true;
    return found->get();
}

bool ParallelAttempts::allFinished() const
{
    return std::all_of(m_attempts.begin(), m_attempts.end(), [](const auto &runner) { return runner->done; });
}

} // namespace agatedoor
