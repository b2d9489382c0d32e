#include "filter.hpp"

#include "forward.hpp"
#include "headers.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace agatedoor {

namespace {

constexpr std::int64_t maxDepth = 16;
constexpr std::size_t maxRequestIdSize = 128;

FilterVerdict answer(RequestContext &context, Reason reason)
{
    context.result = notRun(reason);
    return FilterVerdict::Answer;
}

bool usableId(std::string_view id)
{
    const auto allowed = [](unsigned char c) { return std::isgraph(c) != 0; };
    return !id.empty() && id.size() <= maxRequestIdSize && std::all_of(id.begin(), id.end(), allowed);
}

asio::awaitable<FilterVerdict> identify(RequestContext &context)
{
    const NodeState &node = context.worker.node;
    const auto given = header::text(context.request, node.edge.requestId);
    context.id = {usableId(given) ? std::string(given) : randomHex(context.worker.random)};

    co_return FilterVerdict::Continue;
}

/// The last moments of a stop: what would be passed on now could be cut.
asio::awaitable<FilterVerdict> refuseWhileClosing(RequestContext &context)
{
    if (context.worker.node.closing.load()) {
        co_return answer(context, Reason::Stopping);
    }
    co_return FilterVerdict::Continue;
}

asio::awaitable<FilterVerdict> limitDepth(RequestContext &context)
{
    context.depth = header::number(context.request, header::depth).value_or(0) + 1;
    if (context.depth < 1 || context.depth > maxDepth) {
        co_return answer(context, Reason::TooManyHops);
    }
    co_return FilterVerdict::Continue;
}

asio::awaitable<FilterVerdict> pinBundle(RequestContext &context)
{
    context.bundle = context.worker.node.bundles.current();
    if (context.bundle->head.generation.value == 0) {
        co_return answer(context, Reason::NoBundle);
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
        co_return answer(context, Reason::UnknownRoute);
    }
    context.service = findService(bundle, chooseShare(*context.route, uniformUnit(context.worker.random)));
    co_return FilterVerdict::Continue;
}

/// The body is taken in whole before a backend server is chosen, so that a slow upload holds no slot.
asio::awaitable<FilterVerdict> takeBody(RequestContext &context)
{
    const Reason reason = co_await context.readBody();
    if (reason != Reason::None) {
        co_return answer(context, reason);
    }
    co_return FilterVerdict::Continue;
}

/// Writes what only this node knows into the request, whatever the caller sent. Needs the whole request.
asio::awaitable<FilterVerdict> attest(RequestContext &context)
{
    const NodeState &node = context.worker.node;
    context.request.set(node.edge.requestId, context.id.value);
    if (!node.edge.callerService.empty()) {
        context.request.set(node.edge.callerService, node.settings.service ? node.settings.service->value : std::string());
    }
    co_return FilterVerdict::Continue;
}

asio::awaitable<FilterVerdict> setDeadline(RequestContext &context)
{
    const TimePoint now = Clock::now();
    context.deadline = deadlineAfter(now, context.route->timeout);
    if (const auto asked = header::timeLeft(context.request, context.worker.node.edge.timeLeft, context.worker.node.edge.timeUnit)) {
        context.deadline = earlier(context.deadline, deadlineAfter(now, *asked));
    }
    if (expired(context.deadline, now)) {
        co_return answer(context, Reason::DeadlinePassed);
    }
    co_return FilterVerdict::Continue;
}

/// A stopping node passes nothing on that it might have to cut: callers may use open connections until its end.
asio::awaitable<FilterVerdict> refuseWhatOutlastsStop(RequestContext &context)
{
    if (context.deadline.at > context.worker.node.finishBy.load()) {
        co_return answer(context, Reason::Stopping);
    }
    co_return FilterVerdict::Continue;
}

asio::awaitable<FilterVerdict> forwardToBackend(RequestContext &context)
{
    co_await forward(context);
    co_return FilterVerdict::Answer;
}

constexpr std::array filters{
    Filter{"identify", identify},
    Filter{"refuse-while-closing", refuseWhileClosing},
    Filter{"limit-depth", limitDepth},
    Filter{"pin-bundle", pinBundle},
    Filter{"find-route", findRoute},
    Filter{"take-body", takeBody},
    Filter{"attest", attest},
    Filter{"set-deadline", setDeadline},
    Filter{"refuse-what-outlasts-stop", refuseWhatOutlastsStop},
    Filter{"forward", forwardToBackend},
};

} // namespace

std::span<const Filter> requestFilters()
{
    return filters;
}

asio::awaitable<void> runFilters(std::span<const Filter> filters, RequestContext &context)
{
    for (const auto &filter : filters) {
        const FilterVerdict verdict = co_await filter.run(context);
        if (verdict == FilterVerdict::Answer) {
            co_return;
        }
    }
}

} // namespace agatedoor
