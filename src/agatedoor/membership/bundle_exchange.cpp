#include "agatedoor/membership/bundle_exchange.hpp"

#include "agatedoor/release/bundle_pack.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

PeerMessage messageFrom(const MemberRecord &self, PeerMessageKind kind)
{
    PeerMessage message;
    message.kind = kind;
    message.from = self.node;
    message.region = self.region;
    message.replyTo = self.gossip;
    return message;
}

/// Whether this node is one of those that ask other regions for a new bundle at once. All nodes with the same view of the region
/// choose the same ones.
bool isRepresentative(const Membership &membership, std::size_t representatives)
{
    std::vector<NodeId> candidates;
    for (const auto &[node, entry] : membership.table.members) {
        if (present(entry.status) && entry.record.region == membership.self.region) {
            candidates.push_back(node);
        }
    }
    const auto chosen = rendezvous(candidates, "bundle", representatives);
    return std::find(chosen.begin(), chosen.end(), membership.self.node) != chosen.end();
}

const std::string &packedFor(BundleExchange &exchange, const RecentBundle &base, const BundleInForce &inForce)
{
    if (exchange.packedGeneration != inForce.head.generation) {
        exchange.packedGeneration = inForce.head.generation;
        exchange.packedTexts.clear();
    }
    const auto [entry, added] = exchange.packedTexts.try_emplace(base.head.digest);
    if (added) {
        entry->second = packText(inForce.text, base.text);
    }
    return entry->second;
}

/// Puts the text into @p reply in the smallest form that the peer can read.
void addText(BundleExchange &exchange, const PeerMessage &request, const BundleInForce &inForce, PeerMessage &reply)
{
    if (request.readsPackedText) {
        const RecentBundle whole;
        const RecentBundle *base = findBundle(exchange.history, request.head.digest);
        const RecentBundle &packedAgainst = base == nullptr ? whole : *base;
        reply.baseDigest = packedAgainst.head.digest;
        reply.packedText = packedFor(exchange, packedAgainst, inForce);
    }
    if (reply.packedText.empty()) {
        reply.text = inForce.text;
    }
}

} // namespace

BundleExchange startBundleExchange(const BundleExchangeOptions &options, TimePoint now)
{
    BundleExchange exchange;
    exchange.options = options;
    exchange.budget = fullBucket(options.budget, now);
    return exchange;
}

std::optional<PeerMessage> requestBundle(BundleExchange &exchange, const PeerMessage &announcement, const BundleInForce &inForce, const Membership &membership,
                                         TimePoint now)
{
    const Generation held = inForce.head.generation;
    if (announcement.generation <= held) {
        return std::nullopt;
    }
    const bool sameRegion = announcement.region == membership.self.region;
    const bool representative = !sameRegion && isRepresentative(membership, exchange.options.representativesPerRegion);
    if (!shouldFetch(exchange.fetch, {announcement.generation, sameRegion, representative}, held, now)) {
        return std::nullopt;
    }
    PeerMessage request = messageFrom(membership.self, PeerMessageKind::BundleRequest);
    request.generation = held;
    request.readsPackedText = true;
    if (!exchange.wholeTextWanted) {
        request.head = inForce.head;
    }
    return request;
}

void recordInForce(BundleExchange &exchange, const BundleInForce &inForce)
{
    recordBundle(exchange.history, inForce);
    exchange.wholeTextWanted = false;
}

std::optional<std::string> textOf(const BundleExchange &exchange, const PeerMessage &reply)
{
    if (reply.packedText.empty()) {
        return reply.text;
    }
    if (reply.baseDigest.value.empty()) {
        return unpackText(reply.packedText, "", exchange.options.maxTextBytes);
    }
    const RecentBundle *base = findBundle(exchange.history, reply.baseDigest);
    return base == nullptr ? std::nullopt : unpackText(reply.packedText, base->text, exchange.options.maxTextBytes);
}

void recordRefusedReply(BundleExchange &exchange, const PeerMessage &reply, TimePoint now)
{
    if (reply.baseDigest.value.empty()) {
        recordRefusal(exchange.fetch, now);
        return;
    }
    exchange.wholeTextWanted = true;
    exchange.fetch.nextRequest = {now};
}

std::optional<BundleAnswer> answerBundleRequest(BundleExchange &exchange, const PeerMessage &request, const BundleInForce &inForce, const MemberRecord &self,
                                                TimePoint now)
{
    if (inForce.head.generation <= request.generation) {
        return std::nullopt;
    }
    PeerMessage reply = messageFrom(self, PeerMessageKind::BundleReply);
    reply.generation = inForce.head.generation;
    reply.head = inForce.head;
    addText(exchange, request, inForce, reply);
    BundleAnswer answer{encodePeerMessage(reply)};
    answer.withinBudget = take(exchange.budget, exchange.options.budget, static_cast<double>(answer.bytes.size()), now);
    return answer;
}

} // namespace agatedoor
