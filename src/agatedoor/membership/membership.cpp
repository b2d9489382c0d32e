#include "agatedoor/membership/membership.hpp"

#include "membership_merge.hpp"
#include "membership_news.hpp"
#include "membership_probe.hpp"
#include "membership_sync.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::size_t maxContacts = 64;

/// Suspects become dead, and the dead are forgotten, each at its deadline.
void settleStatuses(Membership &membership, TimePoint now, Random &random, MembershipOutput &output)
{
    bool lost = false;
    auto &members = membership.table.members;
    for (auto it = members.begin(); it != members.end();) {
        const bool due = expired(it->second.statusDeadline, now);
        const bool forget = due && !present(it->second.status);
        if (due && it->second.status == MemberStatus::Suspect) {
            setStatus(membership, it->second, MemberStatus::Dead, now);
            lost = true;
        }
        it = forget ? members.erase(it) : std::next(it);
    }
    const std::size_t held = heldMembers(membership.table, membership.options, now);
    output.viewChanged = output.viewChanged || lost || held != membership.heldMembers;
    membership.heldMembers = held;
    if (lost) {
        tellAtOnce(membership, now, random, output);
    }
}

/// A backend server whose departure is forgotten may take work again, if its node says so.
void forgetDepartures(Membership &membership, TimePoint now, MembershipOutput &output)
{
    for (auto &[node, entry] : membership.table.members) {
        const std::size_t before = entry.departures.byBackend.size();
        forgetExpired(entry.departures, now);
        output.viewChanged = output.viewChanged || entry.departures.byBackend.size() != before;
    }
}

void gossip(Membership &membership, TimePoint now, Random &random, MembershipOutput &output)
{
    const PeersByDistance peers = peersByDistance(membership);
    for (std::size_t i = 0; i < membership.options.fanout; ++i) {
        const MemberEntry *peer = pickPeer(peers, random);
        if (peer == nullptr || (membership.rumours.empty() && membership.generationTellings <= 0)) {
            return;
        }
        if (!affordable(membership, peer->record.region, now)) {
            continue;
        }
        --membership.generationTellings;
        PeerMessage message = makeMessage(membership, PeerMessageKind::Gossip);
        addNews(membership, message);
        post(membership, peer->record.gossip, peer->record.region, message, output);
    }
}

/// Takes the updates in; those that a joining node gets are known to the others and are no news.
bool absorbAll(Membership &membership, const PeerMessage &message, TimePoint now, MembershipOutput &output)
{
    const bool quiet = message.kind == PeerMessageKind::SyncReply && !membership.joined;
    bool changed = false;
    for (const auto &update : message.updates) {
        const bool taken = absorb(membership, update, now, output);
        changed = changed || taken;
        if (taken && quiet && update.record.node != membership.self.node) {
            membership.rumours.erase(update.record.node);
        }
    }
    return changed;
}

bool knowsSender(const Membership &membership, const PeerMessage &message)
{
    const auto found = membership.table.members.find(message.from);
    return found != membership.table.members.end() && present(found->second.status);
}

/// A sender that isn't known, or is thought gone, is asked for its own record.
void meetSender(Membership &membership, const PeerMessage &message, TimePoint now, MembershipOutput &output)
{
    const bool asking = message.kind == PeerMessageKind::SyncRequest || message.kind == PeerMessageKind::SyncReply;
    if (!asking && !knowsSender(membership, message) && affordable(membership, message.region, now)) {
        requestSync(membership, message.replyTo, message.region, output);
    }
}

bool belongsToPresent(const Membership &membership, const Endpoint &contact)
{
    const auto &members = membership.table.members;
    return std::any_of(members.begin(), members.end(),
                       [&contact](const auto &member) { return present(member.second.status) && member.second.record.gossip == contact; });
}

} // namespace

Membership startMembership(const MembershipOptions &options, const MemberRecord &self, TimePoint now)
{
    Membership membership;
    membership.options = options;
    membership.self = self;
    membership.lastTick = now;
    membership.probeAt = {now};
    membership.gossipAt = {now};
    membership.syncAt = {now};
    membership.reachAt = deadlineAfter(now, options.reachInterval);
    membership.budget = fullBucket(options.budget, now);
    membership.farBudget = fullBucket(options.farBudget, now);
    putSelf(membership);
    return membership;
}

MembershipOutput tick(Membership &membership, TimePoint now, Random &random)
{
    MembershipOutput output;
    const auto &options = membership.options;
    const Duration gap = now - membership.lastTick;
    membership.lastTick = now;
    if (gap > options.stallLimit) {
        resume(membership, gap, output);
        membership.syncAt = {now};
    }
    settleProbes(membership, now, random, output);
    settleStatuses(membership, now, random, output);
    forgetDepartures(membership, now, output);
    tryContact(membership, now, output);
    if (expired(membership.probeAt, now)) {
        membership.probeAt = jittered(now, options.probeInterval, random);
        startProbe(membership, now, random, output);
    }
    if (expired(membership.gossipAt, now)) {
        membership.gossipAt = deadlineAfter(now, options.gossipInterval);
        gossip(membership, now, random, output);
    }
    if (expired(membership.syncAt, now)) {
        membership.syncAt = jittered(now, membership.joined ? options.syncInterval : options.busySyncInterval, random);
        syncWithPeer(membership, now, random, output);
    }
    if (expired(membership.reachAt, now)) {
        membership.reachAt = jittered(now, options.reachInterval, random);
        reachLost(membership, now, random, output);
    }
    return output;
}

MembershipOutput receive(Membership &membership, const PeerMessage &message, TimePoint now, Random &random)
{
    MembershipOutput output;
    if (message.from == membership.self.node) {
        return output;
    }
    const Counter<struct RecordVersionTag> versionBefore = membership.self.version;
    const bool changed = absorbAll(membership, message, now, output);
    switch (message.kind) {
    case PeerMessageKind::Ping:
        acknowledge(membership, message, output);
        break;
    case PeerMessageKind::PingRequest:
        relayPing(membership, message, now, output);
        break;
    case PeerMessageKind::Ack:
        takeAck(membership, message, output);
        break;
    case PeerMessageKind::SyncRequest:
        answerSync(membership, message, now, random, output);
        break;
    case PeerMessageKind::SyncReply:
        takeSyncReply(membership, message, changed, now, random, output);
        break;
    case PeerMessageKind::Gossip:
    case PeerMessageKind::BundleRequest:
    case PeerMessageKind::BundleReply:
        break;
    }
    meetSender(membership, message, now, output);
    if (membership.self.version != versionBefore) {
        tellAtOnce(membership, now, random, output);
    }
    return output;
}

MembershipOutput describeSelf(Membership &membership, MemberRecord self, TimePoint now, Random &random)
{
    MembershipOutput output;
    self.incarnation = membership.self.incarnation;
    self.version = {membership.self.version.value + 1};
    membership.self = std::move(self);
    putSelf(membership);
    output.viewChanged = true;
    tellAtOnce(membership, now, random, output);
    return output;
}

MembershipOutput leaveFleet(Membership &membership, TimePoint now, Random &random)
{
    membership.leaving = true;
    return describeSelf(membership, membership.self, now, random);
}

MembershipOutput announceGeneration(Membership &membership, Generation generation, TimePoint now, Random &random)
{
    MembershipOutput output;
    membership.generation = generation;
    constexpr int tellings = 12;
    membership.generationTellings = tellings;
    tellAtOnce(membership, now, random, output);
    return output;
}

void addContacts(Membership &membership, const std::vector<Endpoint> &contacts)
{
    for (const auto &contact : contacts) {
        const bool known = std::find(membership.contacts.begin(), membership.contacts.end(), contact) != membership.contacts.end();
        if (contact == membership.self.gossip) {
            continue;
        }
        if (!belongsToPresent(membership, contact) && membership.untried.size() < maxContacts) {
            membership.untried.push_back(contact);
        }
        if (known) {
            continue;
        }
        if (membership.contacts.size() >= maxContacts) {
            membership.contacts.erase(membership.contacts.begin());
        }
        membership.contacts.push_back(contact);
    }
}

std::vector<NodeId> presentMembers(const Membership &membership)
{
    std::vector<NodeId> nodes;
    for (const auto &[node, entry] : membership.table.members) {
        if (present(entry.status)) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

std::size_t heldMembers(const FleetTable &table, const MembershipOptions &options, TimePoint now)
{
    std::size_t there = 0;
    std::size_t lost = 0;
    for (const auto &[node, entry] : table.members) {
        there += present(entry.status) ? 1 : 0;
        lost += entry.status == MemberStatus::Dead && !expired(entry.heldUntil, now) ? 1 : 0;
    }
    const bool tooMany = lost >= options.leastLosses && static_cast<double>(lost) > options.lossShare * static_cast<double>(there + lost);
    return tooMany ? lost : 0;
}

} // namespace agatedoor
