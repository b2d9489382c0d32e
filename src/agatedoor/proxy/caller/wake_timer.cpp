#include "wake_timer.hpp"

#include <boost/asio/post.hpp>

namespace agatedoor {

WakeTimer::WakeTimer(Worker &worker, Duration longestWait)
    : m_worker(worker)
    , m_timer(std::make_shared<asio::steady_timer>(worker.context, longestWait))
{
}

std::function<void()> WakeTimer::waker() const
{
    return [&context = m_worker.context, timer = m_timer] { asio::post(context, [timer] { timer->expires_at(TimePoint::min()); }); };
}

asio::awaitable<void> WakeTimer::wait(Cancellation &cancellation)
{
    error_code ignored;
    const CancelHook hook(&cancellation, [this] { m_timer->expires_at(TimePoint::min()); });
    co_await m_timer->async_wait(into(ignored));
}

} // namespace agatedoor
