#include "agatedoor/state/shared_quota.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

TokenResult takeFrom(QuotaStock &stock, CustomerKey customer, BootTime now)
{
    TokenResult result;
    result.token = nextToken(stock, customer, now);
    result.answer = takeToken(stock, customer, now);
    result.retryAt = stock.customers.at(customer).emptyUntil;
    result.returnSpread = returnSpread(stock, customer);
    return result;
}

} // namespace

TokenResult SharedQuota::take(CustomerKey customer, BootTime now)
{
    const std::lock_guard lock(m_mutex);
    return takeFrom(m_stock, customer, now);
}

void SharedQuota::wait(const std::shared_ptr<QuotaWaiter> &waiter)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_stock.customers[waiter->customer].waiting;
        m_waiters.push_back(waiter);
    }
    const std::lock_guard lock(m_listenerMutex);
    if (m_listener) {
        m_listener();
    }
}

TokenResult SharedQuota::stopWaiting(const std::shared_ptr<QuotaWaiter> &waiter)
{
    const std::lock_guard lock(m_mutex);
    if (!waiter->ended) {
        waiter->ended = true;
        --m_stock.customers[waiter->customer].waiting;
        std::erase(m_waiters, waiter);
    }
    return {waiter->answer, waiter->token, waiter->retryAt, waiter->returnSpread};
}

void SharedQuota::putBack(CustomerKey customer, const HeldToken &token, BootTime now)
{
    const std::lock_guard lock(m_mutex);
    agatedoor::putBack(m_stock, customer, token, now);
}

void SharedQuota::update(const std::function<void(QuotaStock &)> &exchange, BootTime now)
{
    std::vector<std::shared_ptr<QuotaWaiter>> ended;
    {
        const std::lock_guard lock(m_mutex);
        exchange(m_stock);
        serveWaiters(now, ended);
    }
    for (const auto &waiter : ended) {
        waiter->wake();
    }
}

/// Call with the mutex held.
void SharedQuota::serveWaiters(BootTime now, std::vector<std::shared_ptr<QuotaWaiter>> &ended)
{
    std::erase_if(m_waiters, [&](const std::shared_ptr<QuotaWaiter> &waiter) {
        const TokenResult result = takeFrom(m_stock, waiter->customer, now);
        if (result.answer == TokenAnswer::Ask) {
            return false;
        }
        waiter->ended = true;
        waiter->answer = result.answer;
        waiter->token = result.token;
        waiter->retryAt = result.retryAt;
        waiter->returnSpread = result.returnSpread;
        --m_stock.customers[waiter->customer].waiting;
        ended.push_back(waiter);
        return true;
    });
}

void SharedQuota::onWait(std::function<void()> listener)
{
    const std::lock_guard lock(m_listenerMutex);
    m_listener = std::move(listener);
}

} // namespace agatedoor
