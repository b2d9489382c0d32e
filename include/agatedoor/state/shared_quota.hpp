#pragma once

#include "agatedoor/decide/quota_stock.hpp"

#include <functional>
#include <memory>
#include <mutex>

/// @brief The tokens of a node for its customers' quotas, shared by its threads, and the requests that wait for one.
namespace agatedoor {

/// @brief One request that waits for a token; guarded by the mutex of SharedQuota.
struct QuotaWaiter
{
    CustomerKey customer;
    bool ended = false;
    TokenAnswer answer = TokenAnswer::Ask; ///< Taken or Exceeded when the wait ended with one of them.
    HeldToken token; ///< The one that was taken.
    BootTime retryAt; ///< With Exceeded: when there may be a token.
    Duration returnSpread{0}; ///< With Exceeded: over which time callers are to come back from then on.
    std::function<void()> wake; ///< Called on any thread, without the mutex, when the wait ends.
};

/// @brief Result of asking for a token.
struct TokenResult
{
    TokenAnswer answer = TokenAnswer::Ask;
    HeldToken token;
    BootTime retryAt;
    Duration returnSpread{0};
};

/// @brief Request threads take tokens and wait for them; the thread of the exchange reports and adds what was granted.
class SharedQuota
{
public:
    /// @brief Takes a token of @p customer, or tells that the quota is used up or that the granter has to be asked.
    TokenResult take(CustomerKey customer, BootTime now);
    /// @brief Lets @p waiter wait for the next reply, and calls the listener.
    void wait(const std::shared_ptr<QuotaWaiter> &waiter);
    /// @brief Ends a wait.
    /// @return what it came to; Ask without a reply
    TokenResult stopWaiting(const std::shared_ptr<QuotaWaiter> &waiter);
    /// @brief Puts back the token of a request that did not run.
    void putBack(CustomerKey customer, const HeldToken &token, BootTime now);

    /// @brief Runs @p exchange on the stock, gives tokens to the requests that wait, in their order, and wakes those whose wait ended.
    void update(const std::function<void(QuotaStock &)> &exchange, BootTime now);

    /// @brief Called when a request begins to wait, on its thread.
    void onWait(std::function<void()> listener);

private:
    void serveWaiters(BootTime now, std::vector<std::shared_ptr<QuotaWaiter>> &ended);

    std::mutex m_mutex;
    QuotaStock m_stock;
    std::deque<std::shared_ptr<QuotaWaiter>> m_waiters;
    std::mutex m_listenerMutex;
    std::function<void()> m_listener;
};

} // namespace agatedoor
