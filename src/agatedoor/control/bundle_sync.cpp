#include "bundle_sync.hpp"

#include "bundle_log.hpp"

#include <utility>

namespace agatedoor {

BundleSync::BundleSync(NodeState &node)
    : m_node(node)
    , m_exchange(startBundleExchange({}, Clock::now()))
{
}

std::vector<Outgoing> BundleSync::take(const PeerMessage &message, std::size_t size, const Membership &membership, TimePoint now)
{
    std::vector<Outgoing> messages;
    if (message.kind == PeerMessageKind::BundleRequest) {
        if (auto reply = answer(message, membership, now)) {
            messages.push_back(std::move(*reply));
        }
    } else if (message.kind == PeerMessageKind::BundleReply) {
        apply(message, size, now);
    }
    if (auto request = requestNewer(message, membership, now)) {
        messages.push_back(std::move(*request));
    }
    return messages;
}

void BundleSync::noteInForce(const BundleInForce &inForce)
{
    recordInForce(m_exchange, inForce);
}

std::optional<Outgoing> BundleSync::answer(const PeerMessage &request, const Membership &membership, TimePoint now)
{
    const auto inForce = m_node.bundles.current();
    auto answer = answerBundleRequest(m_exchange, request, *inForce, membership.self, now);
    if (!answer) {
        return std::nullopt;
    }
    logBundleReply(inForce->head.generation, request.from, answer->bytes.size(), answer->withinBudget);
    if (!answer->withinBudget) {
        return std::nullopt;
    }
    m_stats.sentBytes += answer->bytes.size();
    return Outgoing{request.replyTo, PeerMessageKind::BundleReply, std::move(answer->bytes)};
}

void BundleSync::apply(const PeerMessage &reply, std::size_t size, TimePoint now)
{
    if (reply.head.generation <= m_node.bundles.current()->head.generation) {
        return;
    }
    const auto text = textOf(m_exchange, reply);
    const auto applied = text ? m_node.bundles.apply(reply.head, *text) : Result<Generation, ApplyError>(ApplyError{DigestMismatch{reply.head.digest, {}}});
    logBundleResult(reply.head, {reply.from, size, now - m_exchange.fetch.behindSince}, applied, *m_node.bundles.current());
    if (applied) {
        ++m_stats.fetched;
        return;
    }
    ++m_stats.refused;
    recordRefusedReply(m_exchange, reply, now);
}

/// Requests the bundle from the sender of @p message when the sender has a newer generation.
std::optional<Outgoing> BundleSync::requestNewer(const PeerMessage &message, const Membership &membership, TimePoint now)
{
    const auto request = requestBundle(m_exchange, message, *m_node.bundles.current(), membership, now);
    if (!request) {
        return std::nullopt;
    }
    logBundleRequest(message.generation, message.from, message.region == membership.self.region);
    return Outgoing{message.replyTo, request->kind, encodePeerMessage(*request)};
}

} // namespace agatedoor
