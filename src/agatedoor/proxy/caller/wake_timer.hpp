#pragma once

#include "agatedoor/proxy/request_context.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

/// @brief Lets a request wait for another thread.
namespace agatedoor {

/// @brief One wait, which ends when it is woken, when the caller leaves, or when its time is over.
class WakeTimer
{
public:
    WakeTimer(Worker &worker, Duration longestWait);

    /// @brief Ends the wait; may be called on any thread, also after the timer is gone.
    std::function<void()> waker() const;
    asio::awaitable<void> wait(Cancellation &cancellation);

private:
    Worker &m_worker;
    std::shared_ptr<asio::steady_timer> m_timer;
};

} // namespace agatedoor
