#include "agatedoor/membership/head_exchange.hpp"

#include "membership_gossip.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::string_view purpose = "watch"; ///< Of the order in which members ask the store.

/// Whether another question is due beside those that await their answers.
bool isDue(const HeadExchange &exchange, const HeadPeers &peers, const std::optional<BootTime> &newestAt, BootTime now)
{
    const HeadExchangeOptions &options = exchange.options;
    const bool late = !newestAt || now >= *newestAt + options.lateAfter;
    if (exchange.unanswered > 0) {
        return late && now >= exchange.lastAskedAt + options.retryInterval;
    }
    return (late || !peers.isFirst) && now >= exchange.lastAskedAt + options.minInterval;
}

/// The peers that a source asks, one after the other while no answer comes: the first of the fleet if it is the first of its region, then the
/// sources of the region in their order.
std::vector<const HeadPeer *> peersOfSource(const HeadPeers &peers, std::size_t sources)
{
    std::vector<const HeadPeer *> candidates;
    if (peers.ownRank == 0 && !peers.isFirst) {
        candidates.push_back(&peers.first);
    }
    for (std::size_t rank = 0; rank < sources; ++rank) {
        if (rank != peers.ownRank) {
            candidates.push_back(&peers.ranked[rank]);
        }
    }
    return candidates;
}

/// The peer to ask. Nodes that aren't sources leave the first of the region to those, unless no answer comes.
const HeadPeer *peerToAsk(const HeadExchange &exchange, const HeadPeers &peers, Random &random)
{
    const std::size_t sources = std::min(peers.sources, peers.ranked.size());
    if (peers.ownRank < sources) {
        const auto candidates = peersOfSource(peers, sources);
        return candidates.empty() ? nullptr : candidates[exchange.unanswered % candidates.size()];
    }
    if (sources == 0) {
        return nullptr;
    }
    const std::size_t skipped = exchange.unanswered == 0 && sources > 1 ? 1 : 0;
    return &peers.ranked[skipped + uniformIndex(random, sources - skipped)];
}

void dropOldQuestions(HeadExchange &exchange, BootTime now)
{
    std::erase_if(exchange.asked, [&](const auto &entry) { return now >= entry.second.askedAt + exchange.options.answerTime; });
}

void dropOldestHeld(HeadExchange &exchange)
{
    auto &held = exchange.held;
    held.erase(std::min_element(held.begin(), held.end(), [](const auto &a, const auto &b) { return a.second.receivedAt < b.second.receivedAt; }));
}

bool isNewerBy(Duration gain, const HeadConfirmation &known, const HeldHeadQuestion &question)
{
    return !question.knownAt || known.at >= *question.knownAt + gain;
}

Outgoing answerTo(const HeldHeadQuestion &question, const Membership &membership, const HeadConfirmation &known)
{
    PeerMessage answer = makeMessage(membership, PeerMessageKind::HeadAnswer);
    answer.sequence = question.sequence;
    answer.confirmation = {known.generation, inMicroseconds(known.at - question.receivedAt), known.position, known.evacuated};
    return {question.replyTo, answer.kind, encodePeerMessage(answer)};
}

} // namespace

HeadPeers headPeersOf(const FleetTable &table, const MemberRecord &self, std::size_t sources)
{
    std::vector<NodeId> candidates;
    for (const auto &[node, entry] : table.members) {
        if (present(entry.status) && !entry.record.stopping) {
            candidates.push_back(node);
        }
    }
    HeadPeers peers;
    peers.sources = sources;
    for (const auto &node : rendezvous(candidates, purpose, candidates.size())) {
        const MemberRecord &record = table.members.at(node).record;
        const HeadPeer peer{node, record.gossip};
        peers.first = peers.first.node.value.empty() ? peer : peers.first;
        if (record.region == self.region) {
            peers.ranked.push_back(peer);
        }
    }
    const auto own = std::find_if(peers.ranked.begin(), peers.ranked.end(), [&self](const HeadPeer &peer) { return peer.node == self.node; });
    peers.ownRank = static_cast<std::size_t>(own - peers.ranked.begin());
    peers.isFirst = peers.first.node == self.node;
    return peers;
}

std::optional<Outgoing> dueHeadQuestion(HeadExchange &exchange, const Membership &membership, const HeadPeers &peers, const std::optional<BootTime> &newestAt,
                                        BootTime now, Random &random)
{
    dropOldQuestions(exchange, now);
    if (!isDue(exchange, peers, newestAt, now)) {
        return std::nullopt;
    }
    const HeadPeer *peer = peerToAsk(exchange, peers, random);
    if (peer == nullptr) {
        return std::nullopt;
    }
    exchange.lastAskedAt = now;
    ++exchange.unanswered;
    exchange.asked[++exchange.lastSequence] = {peer->node, now};
    PeerMessage question = makeMessage(membership, PeerMessageKind::HeadQuestion);
    question.sequence = exchange.lastSequence;
    if (newestAt) {
        question.confirmationAge = std::max(inMicroseconds(now - *newestAt), std::chrono::microseconds(0));
    }
    return Outgoing{peer->gossip, question.kind, encodePeerMessage(question)};
}

void holdHeadQuestion(HeadExchange &exchange, const PeerMessage &message, BootTime now)
{
    if (exchange.held.size() >= exchange.options.maxHeldQuestions && !exchange.held.contains(message.from)) {
        dropOldestHeld(exchange);
    }
    HeldHeadQuestion question{message.replyTo, message.sequence, now, {}};
    if (message.confirmationAge) {
        question.knownAt = now - *message.confirmationAge;
    }
    exchange.held[message.from] = question;
}

std::vector<Outgoing> dueHeadAnswers(HeadExchange &exchange, const Membership &membership, const std::optional<HeadConfirmation> &known)
{
    std::vector<Outgoing> answers;
    if (!known) {
        return answers;
    }
    std::erase_if(exchange.held, [&](const auto &entry) {
        const bool due = isNewerBy(exchange.options.leastGain, *known, entry.second);
        if (due) {
            answers.push_back(answerTo(entry.second, membership, *known));
        }
        return due;
    });
    return answers;
}

std::optional<HeadConfirmation> takeHeadAnswer(HeadExchange &exchange, const PeerMessage &answer, BootTime now)
{
    const auto asked = exchange.asked.find(answer.sequence);
    if (asked == exchange.asked.end() || asked->second.peer != answer.from || now >= asked->second.askedAt + exchange.options.answerTime) {
        return std::nullopt;
    }
    const BootTime at = std::min<BootTime>(asked->second.askedAt + answer.confirmation.sinceQuestion, now);
    exchange.asked.erase(asked);
    exchange.unanswered = 0;
    return HeadConfirmation{answer.confirmation.generation, at, answer.confirmation.position, answer.from, answer.confirmation.evacuated};
}

} // namespace agatedoor
