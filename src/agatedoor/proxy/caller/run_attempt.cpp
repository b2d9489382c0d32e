#include "run_attempt.hpp"

#include "backend_choice.hpp"
#include "suspect.hpp"

namespace agatedoor {

namespace {

/// Counts an attempt as in progress on its backend server. For one that is cancelled, only the time without a response
/// is recorded.
class CountedAttempt
{
public:
    explicit CountedAttempt(const BackendEntry &entry)
        : m_entry(entry)
        , m_startedAt(beginAttempt(entry))
    {
    }
    ~CountedAttempt()
    {
        if (!m_finished) {
            abandonAttempt(m_entry, m_startedAt);
        }
    }
    CountedAttempt(const CountedAttempt &) = delete;
    CountedAttempt &operator=(const CountedAttempt &) = delete;

    void finish(RequestContext &context, const AttemptResult &result)
    {
        m_finished = true;
        endAttempt(context, m_entry, m_startedAt, result);
    }

private:
    const BackendEntry &m_entry;
    TimePoint m_startedAt;
    bool m_finished = false;
};

/// Keeps the earliest time at which there is room for the request.
void noteRoom(RequestContext &context, const AttemptResult &result)
{
    if (result.returnAt && context.worker.node.settings.returnLimit > Duration::zero()) {
        context.roomAt = context.roomAt ? earlier(*context.roomAt, *result.returnAt) : *result.returnAt;
    }
}

/// Runs the request on a backend server of this VM.
asio::awaitable<AttemptResult> runLocally(RequestContext &context, const BackendRequest &request)
{
    auto admission = co_await admit(context.worker, request);
    if (!admission->has_value()) {
        AttemptResult refused = notRun(admission->error().reason);
        refused.returnAt = admission->error().returnAt;
        co_return refused;
    }
    AttemptResult result = co_await dispatch(context.worker, admission->value(), request, context.request);
    result.load = reportOf(admission->value().slot.gate());
    co_return result;
}

} // namespace

asio::awaitable<AttemptResult> runAttempt(RequestContext &context, const BackendEntry &entry, AttemptOptions options)
{
    BackendRequest request;
    request.target = entry.backend;
    request.id = context.id;
    request.priority = context.priority;
    request.customer = context.customer != nullptr ? context.customer->name : CustomerName{};
    request.route = context.route->key;
    request.deadline = context.deadline;
    request.depth = context.depth;
    request.holdUntil = options.spareOnly ? Deadline{} : context.holdUntil;
    request.last = context.last && !options.spareOnly;
    request.repeat = options.repeat;
    request.spareOnly = options.spareOnly;
    request.cancellation = &context.cancellation;
    const auto notice = context.worker.node.notices.find(entry.backend, entry.born, Clock::now());
    request.rememberedLimit = notice ? notice->requestLimit : 0;
    CountedAttempt counted(entry);
    const bool isLocal = entry.node == context.worker.node.settings.node;
    AttemptResult result;
    if (isLocal) {
        result = co_await runLocally(context, request);
    } else {
        result = co_await forwardToPeer(context.worker, entry, request, context.request, context.route->idempotent, options.connection);
    }
    learnFromAttempt(context, result);
    noteRoom(context, result);
    const auto state = co_await asio::this_coro::cancellation_state;
    if (state.cancelled() == asio::cancellation_type::none && !context.cancellation.requested()) {
        counted.finish(context, result);
    }
    co_return result;
}

} // namespace agatedoor
