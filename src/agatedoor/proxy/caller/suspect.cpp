#include "suspect.hpp"

#include "agatedoor/wire/log.hpp"
#include "request_content.hpp"

namespace agatedoor {

namespace {

/// Logs an end beside the request; the content's digest tells whether it is the same request as beside another.
void logEnd(const RequestContext &context, const AttemptResult &result)
{
    logDecision("ended-beside",
                {{"request_id", context.id.value},
                 {"backend", context.servedBy.value},
                 {"end", static_cast<std::int64_t>(result.end.value)},
                 {"content", context.content.value},
                 {"ends", static_cast<std::int64_t>(endsBeside(context))}});
}

} // namespace

void recognizeContent(RequestContext &context)
{
    const NodeState &node = context.worker.node;
    if (node.backendEnds.empty()) {
        return;
    }
    const std::string head = contentHeadOf(context.request, node.edge);
    if (node.backendEnds.mayKnow(head)) {
        context.content = contentOf(context.request, head);
    }
}

int endsBeside(const RequestContext &context)
{
    return context.content.value.empty() ? 0 : context.worker.node.backendEnds.endsBeside(context.content, Clock::now());
}

void learnFromAttempt(RequestContext &context, const AttemptResult &result)
{
    NodeState &node = context.worker.node;
    if (result.outcome == RunOutcome::Answered && !context.content.value.empty()) {
        node.backendEnds.recordAnswer(context.content);
    }
    if (result.reason == Reason::BackendEnded && result.end.value != 0) {
        context.content = contentOf(context.request, contentHeadOf(context.request, node.edge));
        node.backendEnds.recordEnd(result.end, context.content, Clock::now());
        logEnd(context, result);
    }
}

} // namespace agatedoor
