#include "filter.hpp"

#include "agatedoor/proxy/headers.hpp"
#include "customer_identity.hpp"
#include "forward.hpp"
#include "quota_admission.hpp"
#include "suspect.hpp"
#include "trial.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace agatedoor {

namespace {

constexpr std::int64_t maxDepth = 16;
constexpr std::size_t maxRequestIdSize = 128;

FilterVerdict refuse(RequestContext &context, Reason reason)
{
    context.result = notRun(reason);
    return FilterVerdict::Answer;
}

bool isValidRequestId(std::string_view id)
{
    const auto allowed = [](unsigned char c) { return std::isgraph(c) != 0; };
    return !id.empty() && id.size() <= maxRequestIdSize && std::all_of(id.begin(), id.end(), allowed);
}

/// Keeps the caller's request id when it is valid, otherwise generates one.
asio::awaitable<FilterVerdict> assignRequestId(RequestContext &context)
{
    const NodeState &node = context.worker.node;
    const auto callerId = header::text(context.request, node.edge.requestId);
    context.id = {isValidRequestId(callerId) ? std::string(callerId) : randomHex(context.worker.random)};
    co_return FilterVerdict::Continue;
}

/// Refuses requests at the end of a shutdown, when a forwarded request could be cut off.
asio::awaitable<FilterVerdict> refuseWhileClosing(RequestContext &context)
{
    if (context.worker.node.refusingCallers.load()) {
        co_return refuse(context, Reason::Stopping);
    }
    co_return FilterVerdict::Continue;
}

/// Refuses requests that are nested too deeply, which indicates a call loop.
asio::awaitable<FilterVerdict> limitDepth(RequestContext &context)
{
    context.depth = header::number(context.request, header::depth).value_or(0) + 1;
    if (context.depth < 1 || context.depth > maxDepth) {
        co_return refuse(context, Reason::TooManyHops);
    }
    co_return FilterVerdict::Continue;
}

/// Takes the bundle that is in force now for the whole request, also when another one comes into force meanwhile.
asio::awaitable<FilterVerdict> pinBundle(RequestContext &context)
{
    context.bundleConfirmedAt = context.worker.node.headConfirmation.confirmedAt(); // First: it must not be of a newer bundle than the one taken.
    context.bundle = context.worker.node.bundles.current();
    context.bundleTakenAt = BootClock::now();
    if (context.bundle->head.generation.value == 0) {
        co_return refuse(context, Reason::NoBundle);
    }
    co_return FilterVerdict::Continue;
}

asio::awaitable<FilterVerdict> findRoute(RequestContext &context)
{
    const auto view = [](beast::string_view text) { return std::string_view(text.data(), text.size()); };
    const StringRequest &request = context.request;
    const Bundle &bundle = context.bundle->bundle;
    context.route = matchRoute(bundle, {view(request[http::field::host]), view(request.method_string()), view(request.target())});
    if (context.route == nullptr) {
        co_return refuse(context, Reason::UnknownRoute);
    }
    context.service = findService(bundle, chooseShare(*context.route, uniformUnit(context.worker.random)));
    co_return FilterVerdict::Continue;
}

/// Refuses a request that names no customer where it has to, or one whose key may have been taken away.
asio::awaitable<FilterVerdict> checkCustomer(RequestContext &context)
{
    const Reason reason = identifyCustomer(context);
    if (reason != Reason::None) {
        co_return refuse(context, reason);
    }
    co_return FilterVerdict::Continue;
}

/// Reads the whole body before a backend server is chosen, so that a slow upload holds no slot.
asio::awaitable<FilterVerdict> readWholeBody(RequestContext &context)
{
    const Reason reason = co_await context.readBody();
    if (reason != Reason::None) {
        co_return refuse(context, reason);
    }
    co_return FilterVerdict::Continue;
}

/// Overwrites the header fields that backend servers must be able to trust, whatever the caller sent. Runs after the body
/// is read, because that replaces the request.
asio::awaitable<FilterVerdict> setTrustedHeaders(RequestContext &context)
{
    const NodeState &node = context.worker.node;
    context.request.set(node.edge.requestId, context.id.value);
    if (!node.edge.callerService.empty()) {
        context.request.set(node.edge.callerService, node.settings.service ? node.settings.service->value : std::string());
    }
    setCustomerHeaders(context);
    co_return FilterVerdict::Continue;
}

/// Sets the deadline to the route's timeout, or to the caller's when that is shorter.
asio::awaitable<FilterVerdict> setDeadline(RequestContext &context)
{
    const TimePoint now = Clock::now();
    context.deadline = deadlineAfter(now, context.route->timeout);
    if (const auto callerTimeout = header::timeLeft(context.request, context.worker.node.edge.timeLeft, context.worker.node.edge.timeUnit)) {
        context.deadline = earlier(context.deadline, deadlineAfter(now, *callerTimeout));
    }
    if (expired(context.deadline, now)) {
        co_return refuse(context, Reason::DeadlinePassed);
    }
    co_return FilterVerdict::Continue;
}

/// Refuses a request whose deadline is after the end of a shutdown in progress, since it could be cut off. Callers can
/// still send requests on open connections until then. One that came before they can have noticed the shutdown is taken, and answered by then.
asio::awaitable<FilterVerdict> fitIntoStop(RequestContext &context)
{
    const NodeState &node = context.worker.node;
    if (context.deadline.at > node.stopDeadline.load()) {
        co_return refuse(context, Reason::Stopping);
    }
    context.deadline = earlier(context.deadline, {node.answerBy.load()});
    co_return FilterVerdict::Continue;
}

/// Refuses a request beside which several backend servers have ended, and which none has answered since. It takes no other down then.
/// Since it may be sound, it is tried once in a while.
asio::awaitable<FilterVerdict> refuseWhatEndsBackends(RequestContext &context)
{
    recognizeContent(context);
    if (endsBeside(context) < BackendEndOptions{}.refuseAfter) {
        co_return FilterVerdict::Continue;
    }
    const bool isTrial = co_await beginTrial(context);
    co_return isTrial ? FilterVerdict::Continue : refuse(context, Reason::EndsBackends);
}

asio::awaitable<FilterVerdict> keepWithinQuota(RequestContext &context)
{
    const Reason reason = co_await takeFromQuota(context);
    if (reason != Reason::None) {
        co_return refuse(context, reason);
    }
    co_return FilterVerdict::Continue;
}

asio::awaitable<FilterVerdict> forwardToBackend(RequestContext &context)
{
    if (context.trial) {
        context.trial->begin();
    }
    co_await forward(context);
    settleQuota(context);
    endTrial(context);
    co_return FilterVerdict::Answer;
}

constexpr std::array routing{
    Filter{"identify", assignRequestId}, Filter{"refuse-while-closing", refuseWhileClosing},
    Filter{"limit-depth", limitDepth},   Filter{"pin-bundle", pinBundle},
    Filter{"find-route", findRoute},     Filter{"check-customer", checkCustomer},
};

constexpr std::array serving{
    Filter{"take-body", readWholeBody},
    Filter{"attest", setTrustedHeaders},
    Filter{"set-deadline", setDeadline},
    Filter{"fit-into-stop", fitIntoStop},
    Filter{"refuse-what-ends-backends", refuseWhatEndsBackends},
    Filter{"keep-within-quota", keepWithinQuota},
    Filter{"forward", forwardToBackend},
};

} // namespace

std::span<const Filter> routingFilters()
{
    return routing;
}

std::span<const Filter> servingFilters()
{
    return serving;
}

asio::awaitable<FilterVerdict> runFilters(std::span<const Filter> filters, RequestContext &context)
{
    for (const auto &filter : filters) {
        const FilterVerdict verdict = co_await filter.run(context);
        if (verdict == FilterVerdict::Answer) {
            co_return verdict;
        }
    }
    co_return FilterVerdict::Continue;
}

} // namespace agatedoor
