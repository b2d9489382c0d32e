#include "membership_gossip.hpp"

#include "membership_ends.hpp"

#include <algorithm>
#include <bit>

namespace agatedoor {

namespace {

/// Bytes that the transport and network headers add to a message.
constexpr std::size_t frameBytes = 74;
constexpr std::size_t nearTargets = 4;
constexpr std::size_t targetsPerOtherRegion = 2;
constexpr int extraTransmissions = 2;
/// pickPeer() draws a number below pickShares: below zoneShare it prefers the same zone, below regionShare the same region.
constexpr std::size_t pickShares = 16;
constexpr std::size_t zoneShare = 8;
constexpr std::size_t regionShare = 15;

const MemberEntry *pickFrom(const std::vector<const MemberEntry *> &peers, Random &random)
{
    return peers.empty() ? nullptr : peers[uniformIndex(random, peers.size())];
}

int transmissionCount(const Membership &membership)
{
    return static_cast<int>(std::bit_width(membership.table.members.size())) + extraTransmissions;
}

/// Members with queued updates, those with the most transmissions left first.
std::vector<NodeId> queuedNodes(const Membership &membership)
{
    std::vector<std::pair<int, NodeId>> ranked;
    ranked.reserve(membership.queuedUpdates.size());
    for (const auto &[node, remaining] : membership.queuedUpdates) {
        ranked.emplace_back(-remaining, node);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<NodeId> nodes;
    nodes.reserve(ranked.size());
    for (auto &[rank, node] : ranked) {
        nodes.push_back(std::move(node));
    }
    return nodes;
}

void shuffle(std::vector<const MemberEntry *> &peers, Random &random)
{
    for (std::size_t i = peers.size(); i > 1; --i) {
        std::swap(peers[i - 1], peers[uniformIndex(random, i)]);
    }
}

/// A few random members of this region, from the same and from other zones, and some of each other region.
std::vector<const MemberEntry *> pickGossipTargets(const Membership &membership, Random &random)
{
    PeersByDistance peers = peersByDistance(membership);
    shuffle(peers.sameZone, random);
    shuffle(peers.sameRegion, random);
    shuffle(peers.otherRegion, random);
    std::vector<const MemberEntry *> targets;
    for (std::size_t i = 0; targets.size() < nearTargets && i < nearTargets; ++i) {
        if (i < peers.sameRegion.size()) {
            targets.push_back(peers.sameRegion[i]);
        }
        if (i < peers.sameZone.size()) {
            targets.push_back(peers.sameZone[i]);
        }
    }
    std::map<RegionName, std::size_t> targetsByRegion;
    for (const auto *peer : peers.otherRegion) {
        if (targetsByRegion[peer->record.region]++ < targetsPerOtherRegion) {
            targets.push_back(peer);
        }
    }
    return targets;
}

} // namespace

PeersByDistance peersByDistance(const Membership &membership)
{
    PeersByDistance peers;
    const NodeLocation here{membership.self.node, membership.self.zone, membership.self.region};
    for (const auto &[node, entry] : membership.table.members) {
        if (node == here.node || !present(entry.status)) {
            continue;
        }
        switch (localityOf(here, entry.record)) {
        case Locality::SameZone:
            peers.sameZone.push_back(&entry);
            break;
        case Locality::SameRegion:
            peers.sameRegion.push_back(&entry);
            break;
        case Locality::OtherRegion:
            peers.otherRegion.push_back(&entry);
            break;
        }
    }
    return peers;
}

const MemberEntry *pickPeer(const PeersByDistance &peers, Random &random)
{
    const std::size_t draw = uniformIndex(random, pickShares);
    const MemberEntry *zone = pickFrom(peers.sameZone, random);
    const MemberEntry *region = pickFrom(peers.sameRegion, random);
    const MemberEntry *far = pickFrom(peers.otherRegion, random);
    const MemberEntry *near = zone != nullptr && (draw < zoneShare || region == nullptr) ? zone : region;
    if (near == nullptr || (draw >= regionShare && far != nullptr)) {
        return far;
    }
    return near;
}

void queueUpdate(Membership &membership, const NodeId &node)
{
    membership.queuedUpdates[node] = transmissionCount(membership);
}

PeerMessage makeMessage(const Membership &membership, PeerMessageKind kind)
{
    PeerMessage message;
    message.kind = kind;
    message.from = membership.self.node;
    message.region = membership.self.region;
    message.replyTo = membership.self.gossip;
    message.generation = membership.generation;
    message.storeEra = membership.storeEra;
    return message;
}

MemberUpdate updateOf(const MemberEntry &entry)
{
    MemberUpdate update{entry.record, entry.status};
    if (!present(entry.status)) {
        update.record.backends.clear();
    }
    return update;
}

void addQueuedUpdates(Membership &membership, PeerMessage &message)
{
    std::size_t size = 0;
    for (const auto &node : queuedNodes(membership)) {
        const auto known = membership.table.members.find(node);
        const auto queued = membership.queuedUpdates.find(node);
        if (known == membership.table.members.end()) {
            membership.queuedUpdates.erase(queued);
            continue;
        }
        MemberUpdate update = updateOf(known->second);
        size += sizeBound(update);
        if (size > membership.options.maxMessageBytes && !message.updates.empty()) {
            return;
        }
        message.updates.push_back(std::move(update));
        if (--queued->second <= 0) {
            membership.queuedUpdates.erase(queued);
        }
    }
}

bool withinBudget(Membership &membership, const RegionName &region, TimePoint now)
{
    refill(membership.budget, membership.options.budget, now);
    refill(membership.crossRegionBudget, membership.options.crossRegionBudget, now);
    const bool near = region == membership.self.region;
    return membership.budget.tokens > 0 && (near || membership.crossRegionBudget.tokens > 0);
}

void queueMessage(Membership &membership, const Endpoint &to, const RegionName &region, const PeerMessage &message, MembershipOutput &output)
{
    Outgoing outgoing{to, message.kind, encodePeerMessage(message)};
    const auto size = static_cast<double>(outgoing.bytes.size() + frameBytes);
    membership.budget.tokens -= size;
    if (region != membership.self.region) {
        membership.crossRegionBudget.tokens -= size;
    }
    output.messages.push_back(std::move(outgoing));
}

void gossipNow(Membership &membership, TimePoint now, Random &random, MembershipOutput &output)
{
    for (const auto *peer : pickGossipTargets(membership, random)) {
        if (!withinBudget(membership, peer->record.region, now)) {
            continue;
        }
        PeerMessage message = makeMessage(membership, PeerMessageKind::Gossip);
        addQueuedUpdates(membership, message);
        addQueuedEnds(membership, message, now);
        queueMessage(membership, peer->record.gossip, peer->record.region, message, output);
    }
}

void requestSync(Membership &membership, const Endpoint &to, const RegionName &region, MembershipOutput &output)
{
    PeerMessage message = makeMessage(membership, PeerMessageKind::SyncRequest);
    const TableDigest digest = digestOf(membership.table);
    message.buckets.assign(digest.begin(), digest.end());
    message.updates.push_back(updateOf(membership.table.members.at(membership.self.node)));
    message.endsDigest = digestOf(membership.ends);
    queueMessage(membership, to, region, message, output);
}

} // namespace agatedoor
