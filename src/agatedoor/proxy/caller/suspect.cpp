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

void computeHead(RequestContext &context)
{
    if (context.contentHead.empty()) {
        context.contentHead = contentHeadOf(context.request, context.worker.node.edge);
    }
}

void computeContent(RequestContext &context)
{
    computeHead(context);
    if (context.content.value.empty()) {
        context.content = contentOf(context.request, context.contentHead);
    }
}

/// The answer acquits the request of ends that became known while it ran, too: it may have been sent before any.
void noteAcquittal(RequestContext &context)
{
    NodeState &node = context.worker.node;
    node.answeredRequests.record(fingerprintOf(context.request, node.edge));
    recognizeContent(context);
    if (!context.content.value.empty()) {
        node.backendEnds.recordAnswer(context.content);
    }
}

} // namespace

void recognizeContent(RequestContext &context)
{
    const NodeState &node = context.worker.node;
    if (node.backendEnds.empty() || !context.content.value.empty()) {
        return;
    }
    computeHead(context);
    if (node.backendEnds.mayKnow(context.contentHead)) {
        computeContent(context);
    }
}

int endsBeside(const RequestContext &context)
{
    return context.content.value.empty() ? 0 : context.worker.node.backendEnds.endsBeside(context.content, Clock::now());
}

bool acquits(const AttemptResult &result)
{
    return result.outcome == RunOutcome::Answered && result.response && http::to_status_class(result.response->result()) != http::status_class::server_error;
}

void learnFromAttempt(RequestContext &context, const AttemptResult &result)
{
    NodeState &node = context.worker.node;
    if (acquits(result)) {
        noteAcquittal(context);
    }
    if (result.reason == Reason::BackendEnded && result.end.value != 0) {
        computeContent(context);
        node.backendEnds.recordEnd(result.end, context.content, Clock::now());
        logEnd(context, result);
    }
}

} // namespace agatedoor
