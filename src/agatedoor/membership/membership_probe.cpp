#include "membership_probe.hpp"

#include "membership_gossip.hpp"
#include "membership_merge.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

/// A probe round covers the whole own zone. For this many of its members it adds one of another zone, or of another region.
constexpr std::size_t zoneMembersPerRegionProbe = 3;
constexpr std::size_t zoneMembersPerCrossRegionProbe = 12;

void addShuffled(std::vector<NodeId> &order, const std::vector<const MemberEntry *> &peers, std::size_t count, Random &random)
{
    std::vector<const MemberEntry *> rest = peers;
    for (std::size_t i = 0; i < count && !rest.empty(); ++i) {
        const std::size_t index = uniformIndex(random, rest.size());
        order.push_back(rest[index]->record.node);
        rest[index] = rest.back();
        rest.pop_back();
    }
}

std::vector<NodeId> makeProbeRound(const Membership &membership, Random &random)
{
    const PeersByDistance peers = peersByDistance(membership);
    const std::size_t zone = peers.sameZone.size();
    std::vector<NodeId> order;
    addShuffled(order, peers.sameZone, zone, random);
    addShuffled(order, peers.sameRegion, zone / zoneMembersPerRegionProbe + 2, random);
    addShuffled(order, peers.otherRegion, zone / zoneMembersPerCrossRegionProbe + 1, random);
    for (std::size_t i = order.size(); i > 1; --i) {
        std::swap(order[i - 1], order[uniformIndex(random, i)]);
    }
    return order;
}

MemberEntry *nextProbeTarget(Membership &membership, Random &random)
{
    if (membership.probeOrder.empty()) {
        membership.probeOrder = makeProbeRound(membership, random);
    }
    while (!membership.probeOrder.empty()) {
        const auto found = membership.table.members.find(membership.probeOrder.back());
        membership.probeOrder.pop_back();
        if (found != membership.table.members.end() && present(found->second.status)) {
            return &found->second;
        }
    }
    return nullptr;
}

/// Tells a member that isn't regarded as alive about its status, so that it can refute it.
void addSuspicion(PeerMessage &message, const MemberEntry &entry)
{
    if (entry.status != MemberStatus::Alive) {
        message.updates.push_back(updateOf(entry));
    }
}

/// Pings once more over a new connection; the target answers over a new one too.
void repeatPing(Membership &membership, std::uint64_t sequence, const Probe &probe, MembershipOutput &output)
{
    const auto target = membership.table.members.find(probe.target);
    if (target == membership.table.members.end()) {
        return;
    }
    const MemberRecord &record = target->second.record;
    output.connectionsToReopen.push_back(record.gossip);
    PeerMessage ping = makeMessage(membership, PeerMessageKind::Ping);
    ping.sequence = sequence;
    ping.repeatedPing = true;
    addSuspicion(ping, target->second);
    queueMessage(membership, record.gossip, record.region, ping, output);
}

void requestRelayedPings(Membership &membership, std::uint64_t sequence, const Probe &probe, Random &random, MembershipOutput &output)
{
    const auto target = membership.table.members.find(probe.target);
    if (target == membership.table.members.end()) {
        return;
    }
    PeersByDistance peers = peersByDistance(membership);
    for (std::size_t i = 0; i < membership.options.relays; ++i) {
        const MemberEntry *relay = pickPeer(peers, random);
        if (relay == nullptr || relay->record.node == probe.target) {
            continue;
        }
        PeerMessage request = makeMessage(membership, PeerMessageKind::PingRequest);
        request.sequence = sequence;
        request.target = target->second.record.gossip;
        request.targetNode = probe.target;
        queueMessage(membership, relay->record.gossip, relay->record.region, request, output);
    }
}

void markSuspect(Membership &membership, const NodeId &node, TimePoint now)
{
    const auto found = membership.table.members.find(node);
    if (found != membership.table.members.end() && found->second.status == MemberStatus::Alive) {
        setStatus(membership, found->second, MemberStatus::Suspect, now);
    }
}

} // namespace

void startProbe(Membership &membership, TimePoint now, Random &random, MembershipOutput &output)
{
    const MemberEntry *target = nextProbeTarget(membership, random);
    if (target == nullptr) {
        return;
    }
    PeerMessage ping = makeMessage(membership, PeerMessageKind::Ping);
    ping.sequence = ++membership.lastSequence;
    addSuspicion(ping, *target);
    addQueuedUpdates(membership, ping);
    const auto &options = membership.options;
    membership.probes[ping.sequence] = {target->record.node, deadlineAfter(now, options.directTimeout), deadlineAfter(now, options.probeTimeout)};
    queueMessage(membership, target->record.gossip, target->record.region, ping, output);
}

void expireProbes(Membership &membership, TimePoint now, Random &random, MembershipOutput &output)
{
    for (auto it = membership.probes.begin(); it != membership.probes.end();) {
        Probe &probe = it->second;
        if (!probe.relayed && expired(probe.directDeadline, now)) {
            probe.relayed = true;
            repeatPing(membership, it->first, probe, output);
            requestRelayedPings(membership, it->first, probe, random, output);
        }
        const bool failed = expired(probe.deadline, now);
        if (failed) {
            markSuspect(membership, probe.target, now);
        }
        it = failed ? membership.probes.erase(it) : std::next(it);
    }
    std::erase_if(membership.relays, [now, &output](const auto &relay) {
        const bool failed = expired(relay.second.deadline, now);
        if (failed) {
            output.connectionsToReopen.push_back(relay.second.target);
        }
        return failed;
    });
}

void acknowledge(Membership &membership, const PeerMessage &ping, MembershipOutput &output)
{
    if (ping.repeatedPing) {
        output.connectionsToReopen.push_back(ping.replyTo);
    }
    PeerMessage ack = makeMessage(membership, PeerMessageKind::Ack);
    ack.sequence = ping.sequence;
    ack.targetNode = membership.self.node;
    const auto sender = membership.table.members.find(ping.from);
    if (sender != membership.table.members.end()) {
        addSuspicion(ack, sender->second);
    }
    addQueuedUpdates(membership, ack);
    queueMessage(membership, ping.replyTo, ping.region, ack, output);
}

void relayPing(Membership &membership, const PeerMessage &request, TimePoint now, MembershipOutput &output)
{
    PeerMessage ping = makeMessage(membership, PeerMessageKind::Ping);
    ping.sequence = ++membership.lastSequence;
    membership.relays[ping.sequence] = {request.replyTo, request.target, request.sequence, deadlineAfter(now, membership.options.probeTimeout)};
    const auto target = membership.table.members.find(request.targetNode);
    const bool near = target == membership.table.members.end() || target->second.record.region == membership.self.region;
    queueMessage(membership, request.target, near ? membership.self.region : target->second.record.region, ping, output);
}

void handleAck(Membership &membership, const PeerMessage &ack, MembershipOutput &output)
{
    const auto probe = membership.probes.find(ack.sequence);
    if (probe != membership.probes.end() && probe->second.target == ack.targetNode) {
        membership.probes.erase(probe);
        return;
    }
    const auto relay = membership.relays.find(ack.sequence);
    if (relay != membership.relays.end()) {
        PeerMessage passed = makeMessage(membership, PeerMessageKind::Ack);
        passed.sequence = relay->second.sequence;
        passed.targetNode = ack.targetNode;
        queueMessage(membership, relay->second.requester, membership.self.region, passed, output);
        membership.relays.erase(relay);
    }
}

} // namespace agatedoor
