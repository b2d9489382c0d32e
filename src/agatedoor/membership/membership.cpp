#include "agatedoor/membership/membership.hpp"

#include "membership_ends.hpp"
#include "membership_gossip.hpp"
#include "membership_merge.hpp"
#include "membership_probe.hpp"
#include "membership_sync.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::size_t maxContacts = 64;

/// Declares suspects dead and removes dead and left members, each at its deadline.
void expireStatuses(Membership &membership, TimePoint now, Random &random, MembershipOutput &output)
{
    bool lost = false;
    auto &members = membership.table.members;
    for (auto it = members.begin(); it != members.end();) {
        const bool due = expired(it->second.statusDeadline, now);
        const bool remove = due && !present(it->second.status);
        if (due && it->second.status == MemberStatus::Suspect) {
            setStatus(membership, it->second, MemberStatus::Dead, now);
            lost = true;
        }
        it = remove ? members.erase(it) : std::next(it);
    }
    const std::size_t held = heldMembers(membership.table, membership.options, now);
    output.viewChanged = output.viewChanged || lost || held != membership.heldMembers;
    membership.heldMembers = held;
    if (lost) {
        gossipNow(membership, now, random, output);
    }
}

/// Once its departure has expired, a backend server may take requests again if its node announces it.
void expireDepartures(Membership &membership, TimePoint now, MembershipOutput &output)
{
    for (auto &[node, entry] : membership.table.members) {
        const std::size_t before = entry.departures.byBackend.size();
        removeExpired(entry.departures, now);
        output.viewChanged = output.viewChanged || entry.departures.byBackend.size() != before;
    }
}

void gossip(Membership &membership, TimePoint now, Random &random, MembershipOutput &output)
{
    const PeersByDistance peers = peersByDistance(membership);
    for (std::size_t i = 0; i < membership.options.fanout; ++i) {
        const MemberEntry *peer = pickPeer(peers, random);
        if (peer == nullptr || (membership.queuedUpdates.empty() && membership.queuedEnds.empty() && membership.generationTransmissions <= 0)) {
            return;
        }
        if (!withinBudget(membership, peer->record.region, now)) {
            continue;
        }
        --membership.generationTransmissions;
        PeerMessage message = makeMessage(membership, PeerMessageKind::Gossip);
        addQueuedUpdates(membership, message);
        addQueuedEnds(membership, message, now);
        queueMessage(membership, peer->record.gossip, peer->record.region, message, output);
    }
}

/// Applies the updates of @p message. The updates in the first sync reply of a joining node are known to the others, so they
/// aren't gossiped.
bool applyUpdates(Membership &membership, const PeerMessage &message, TimePoint now, MembershipOutput &output)
{
    const bool joining = message.kind == PeerMessageKind::SyncReply && !membership.joined;
    bool changed = false;
    for (const auto &update : message.updates) {
        const bool applied = applyUpdate(membership, update, now, output);
        changed = changed || applied;
        if (applied && joining && update.record.node != membership.self.node) {
            membership.queuedUpdates.erase(update.record.node);
        }
    }
    return changed;
}

bool knowsSender(const Membership &membership, const PeerMessage &message)
{
    const auto found = membership.table.members.find(message.from);
    return found != membership.table.members.end() && present(found->second.status);
}

/// Requests a sync from a sender that is unknown or not present, to get its record.
void syncWithUnknownSender(Membership &membership, const PeerMessage &message, TimePoint now, MembershipOutput &output)
{
    const bool syncing = message.kind == PeerMessageKind::SyncRequest || message.kind == PeerMessageKind::SyncReply;
    if (!syncing && !knowsSender(membership, message) && withinBudget(membership, message.region, now)) {
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
    membership.reconnectAt = deadlineAfter(now, options.reconnectInterval);
    membership.budget = fullBucket(options.budget, now);
    membership.crossRegionBudget = fullBucket(options.crossRegionBudget, now);
    publishSelf(membership);
    return membership;
}

MembershipOutput tick(Membership &membership, TimePoint now, Random &random)
{
    MembershipOutput output;
    const auto &options = membership.options;
    const Duration gap = now - membership.lastTick;
    membership.lastTick = now;
    if (gap > options.pauseThreshold) {
        resumeAfterPause(membership, gap, output);
        membership.syncAt = {now};
    }
    expireProbes(membership, now, random, output);
    expireStatuses(membership, now, random, output);
    expireDepartures(membership, now, output);
    syncWithUntriedContact(membership, now, output);
    if (expired(membership.probeAt, now)) {
        membership.probeAt = jittered(now, options.probeInterval, random);
        startProbe(membership, now, random, output);
    }
    if (expired(membership.gossipAt, now)) {
        membership.gossipAt = deadlineAfter(now, options.gossipInterval);
        gossip(membership, now, random, output);
    }
    if (expired(membership.syncAt, now)) {
        membership.syncAt = jittered(now, membership.joined ? options.syncInterval : options.fastSyncInterval, random);
        syncWithPeer(membership, now, random, output);
    }
    if (expired(membership.reconnectAt, now)) {
        membership.reconnectAt = jittered(now, options.reconnectInterval, random);
        reconnectLost(membership, now, random, output);
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
    const bool changed = applyUpdates(membership, message, now, output);
    output.ends = endsOf(message, now);
    switch (message.kind) {
    case PeerMessageKind::Ping:
        acknowledge(membership, message, output);
        break;
    case PeerMessageKind::PingRequest:
        relayPing(membership, message, now, output);
        break;
    case PeerMessageKind::Ack:
        handleAck(membership, message, output);
        break;
    case PeerMessageKind::SyncRequest:
        answerSync(membership, message, now, random, output);
        break;
    case PeerMessageKind::SyncReply:
        handleSyncReply(membership, message, changed, now, random, output);
        break;
    case PeerMessageKind::Gossip:
    case PeerMessageKind::BundleRequest:
    case PeerMessageKind::BundleReply:
    case PeerMessageKind::HeadQuestion:
    case PeerMessageKind::HeadAnswer:
    case PeerMessageKind::QuotaReport:
    case PeerMessageKind::QuotaReply:
        break;
    }
    syncWithUnknownSender(membership, message, now, output);
    if (membership.self.version != versionBefore) {
        gossipNow(membership, now, random, output);
    }
    return output;
}

MembershipOutput updateSelf(Membership &membership, MemberRecord self, TimePoint now, Random &random)
{
    MembershipOutput output;
    self.incarnation = membership.self.incarnation;
    self.version = {membership.self.version.value + 1};
    membership.self = std::move(self);
    publishSelf(membership);
    output.viewChanged = true;
    gossipNow(membership, now, random, output);
    return output;
}

MembershipOutput leaveFleet(Membership &membership, TimePoint now, Random &random)
{
    membership.leaving = true;
    return updateSelf(membership, membership.self, now, random);
}

MembershipOutput announceGeneration(Membership &membership, Generation generation, TimePoint now, Random &random)
{
    MembershipOutput output;
    membership.generation = generation;
    constexpr int transmissions = 12;
    membership.generationTransmissions = transmissions;
    gossipNow(membership, now, random, output);
    return output;
}

MembershipOutput announceEnds(Membership &membership, const BackendEnds &known, const std::vector<BackendEnd> &news, TimePoint now, Random &random)
{
    MembershipOutput output;
    membership.ends = known;
    for (const auto &end : news) {
        queueEnd(membership, end.id);
    }
    if (!news.empty()) {
        gossipNow(membership, now, random, output);
    }
    return output;
}

void addContacts(Membership &membership, const std::vector<Endpoint> &contacts)
{
    for (const auto &contact : contacts) {
        const bool known = std::find(membership.contacts.begin(), membership.contacts.end(), contact) != membership.contacts.end();
        if (contact == membership.self.gossip) {
            continue;
        }
        if (!belongsToPresent(membership, contact) && membership.untriedContacts.size() < maxContacts) {
            membership.untriedContacts.push_back(contact);
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
    std::size_t remaining = 0;
    std::size_t lost = 0;
    for (const auto &[node, entry] : table.members) {
        remaining += present(entry.status) ? 1 : 0;
        lost += entry.status == MemberStatus::Dead && !expired(entry.heldUntil, now) ? 1 : 0;
    }
    const bool massLoss = lost >= options.minMassLoss && static_cast<double>(lost) > options.massLossShare * static_cast<double>(remaining + lost);
    return massLoss ? lost : 0;
}

} // namespace agatedoor
