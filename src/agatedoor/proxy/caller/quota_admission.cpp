#include "quota_admission.hpp"

#include "agatedoor/base/random_time.hpp"
#include "agatedoor/wire/log.hpp"
#include "wake_timer.hpp"

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds longestWait{250}; ///< For the granter's reply, which may be in another region.
constexpr std::chrono::milliseconds unknownRetryTime{400}; ///< By then nodes have found another granter.
constexpr std::chrono::milliseconds unknownRetrySpread{500};

/// Wait of one request for a token. The destructor puts the token back, so that none is lost however the coroutine ends.
class TokenWait
{
public:
    TokenWait(Worker &worker, CustomerKey customer)
        : m_quota(worker.node.quota)
        , m_waiter(std::make_shared<QuotaWaiter>())
        , m_timer(worker, longestWait)
    {
        m_waiter->customer = customer;
        m_waiter->wake = m_timer.waker();
        m_quota.wait(m_waiter);
    }
    ~TokenWait()
    {
        const TokenResult result = m_quota.stopWaiting(m_waiter);
        if (!m_settled && result.answer == TokenAnswer::Taken) {
            m_quota.putBack(m_waiter->customer, result.token, BootClock::now());
        }
    }
    TokenWait(const TokenWait &) = delete;
    TokenWait &operator=(const TokenWait &) = delete;

    asio::awaitable<TokenResult> result(Cancellation &cancellation)
    {
        co_await m_timer.wait(cancellation);
        m_settled = true;
        co_return m_quota.stopWaiting(m_waiter);
    }

private:
    SharedQuota &m_quota;
    std::shared_ptr<QuotaWaiter> m_waiter;
    WakeTimer m_timer;
    bool m_settled = false;
};

Reason reasonOf(TokenAnswer answer)
{
    return answer == TokenAnswer::Exceeded ? Reason::QuotaExceeded : Reason::QuotaUnknown;
}

/// Sets when the caller may come back: when there may be a token, or another granter.
void setRetryTime(RequestContext &context, const TokenResult &result, BootTime now)
{
    const bool exceeded = result.answer == TokenAnswer::Exceeded;
    const Duration wait = exceeded ? std::max<Duration>(result.retryAt - now, Duration::zero()) : Duration(unknownRetryTime);
    const Duration spread = exceeded ? result.returnSpread : Duration(unknownRetrySpread);
    context.retryAt = deadlineAfter(Clock::now(), wait + uniformTime(context.worker.random, spread));
}

void logRefusal(const RequestContext &context, const TokenResult &result, BootTime now)
{
    logDecision("quota-refused",
                {{"request_id", context.id.value},
                 {"customer", context.customer->name.value},
                 {"requests_in_1000_s", static_cast<std::int64_t>(context.customer->requestsPerSecond * 1000)},
                 {"bundle", static_cast<std::int64_t>(context.bundle->head.generation.value)},
                 {"next_in_ms", std::max<std::int64_t>(0, (result.retryAt - now) / std::chrono::milliseconds(1))},
                 {"reason", std::string(wireName(reasonOf(result.answer)))},
                 {"outcome", std::string(wireName(RunOutcome::NotRun))}});
}

} // namespace

asio::awaitable<Reason> takeFromQuota(RequestContext &context)
{
    if (context.customer == nullptr || context.customer->requestsPerSecond <= 0) {
        co_return Reason::None;
    }
    Worker &worker = context.worker;
    const CustomerKey key = customerKeyOf(context.customer->name);
    TokenResult result = worker.node.quota.take(key, BootClock::now());
    if (result.answer == TokenAnswer::Ask) {
        TokenWait wait(worker, key);
        result = co_await wait.result(context.cancellation);
        ++worker.metrics.quotaWaits;
    }
    if (result.answer == TokenAnswer::Taken) {
        context.quotaToken = result.token;
        co_return Reason::None;
    }
    if (cancelled(&context.cancellation)) {
        co_return Reason::CallerGone;
    }
    const BootTime now = BootClock::now();
    ++worker.metrics.quotaRefusals;
    setRetryTime(context, result, now);
    logRefusal(context, result, now);
    co_return reasonOf(result.answer);
}

void settleQuota(RequestContext &context)
{
    const auto token = std::exchange(context.quotaToken, std::nullopt);
    if (token && context.result.outcome == RunOutcome::NotRun) {
        context.worker.node.quota.putBack(customerKeyOf(context.customer->name), *token, BootClock::now());
    }
}

} // namespace agatedoor
