#include "membership_sync.hpp"

#include "membership_ends.hpp"
#include "membership_gossip.hpp"
#include "membership_merge.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

void syncWithContact(Membership &membership, Random &random, MembershipOutput &output)
{
    if (!membership.contacts.empty()) {
        const Endpoint contact = membership.contacts[uniformIndex(random, membership.contacts.size())];
        requestSync(membership, contact, membership.self.region, output);
    }
}

/// Members of one bucket, as updates.
std::vector<MemberUpdate> bucketUpdates(const Membership &membership, std::size_t bucket)
{
    std::vector<MemberUpdate> updates;
    for (const auto &[node, entry] : membership.table.members) {
        if (bucketOf(node) == bucket) {
            updates.push_back(updateOf(entry));
        }
    }
    return updates;
}

/// Sends the updates that the sender of @p reply lacks in the buckets that it covers.
void sendMissingUpdates(Membership &membership, const PeerMessage &reply, MembershipOutput &output)
{
    std::map<NodeId, const MemberUpdate *> theirs;
    for (const auto &update : reply.updates) {
        theirs[update.record.node] = &update;
    }
    PeerMessage answer = makeMessage(membership, PeerMessageKind::Gossip);
    std::size_t size = 0;
    for (const auto &[node, entry] : membership.table.members) {
        const auto bucket = static_cast<std::uint32_t>(bucketOf(node));
        if (std::find(reply.differing.begin(), reply.differing.end(), bucket) == reply.differing.end()) {
            continue;
        }
        const auto found = theirs.find(node);
        MemberUpdate own = updateOf(entry);
        const bool lacking = found == theirs.end() || supersedes(own, MemberEntry{found->second->record, found->second->status});
        size += lacking ? sizeBound(own) : 0;
        if (lacking && size <= membership.options.maxSyncBytes) {
            answer.updates.push_back(std::move(own));
        }
    }
    if (!answer.updates.empty()) {
        queueMessage(membership, reply.replyTo, reply.region, answer, output);
    }
}

/// Unexpired departures that earlier processes of @p node acknowledged.
std::vector<Departure> departuresOf(const Membership &membership, const NodeId &node, TimePoint now)
{
    const auto found = membership.table.members.find(node);
    return found == membership.table.members.end() ? std::vector<Departure>{} : activeDepartures(found->second.departures, now);
}

bool knewEarlierProcess(const Membership &membership, const NodeId &node)
{
    const auto found = membership.table.members.find(node);
    return found != membership.table.members.end() && found->second.restarted;
}

} // namespace

Deadline jittered(TimePoint now, Duration interval, Random &random)
{
    constexpr double spread = 0.2;
    const double factor = 1.0 - spread / 2 + spread * uniformUnit(random);
    return deadlineAfter(now, std::chrono::duration_cast<Duration>(interval * factor));
}

void syncWithPeer(Membership &membership, TimePoint now, Random &random, MembershipOutput &output)
{
    const MemberEntry *peer = pickPeer(peersByDistance(membership), random);
    const bool useContact = !membership.joined && !membership.contacts.empty() && uniformIndex(random, 2) == 0;
    if (peer == nullptr || useContact) {
        syncWithContact(membership, random, output);
        return;
    }
    if (withinBudget(membership, peer->record.region, now)) {
        requestSync(membership, peer->record.gossip, peer->record.region, output);
    }
}

void reconnectLost(Membership &membership, TimePoint now, Random &random, MembershipOutput &output)
{
    std::vector<const MemberEntry *> lost;
    for (const auto &[node, entry] : membership.table.members) {
        if (entry.status == MemberStatus::Dead) {
            lost.push_back(&entry);
        }
    }
    const bool useContact = !membership.contacts.empty() && uniformIndex(random, 2) == 0;
    if (lost.empty() || useContact) {
        syncWithContact(membership, random, output);
        return;
    }
    const MemberEntry *member = lost[uniformIndex(random, lost.size())];
    if (withinBudget(membership, member->record.region, now)) {
        requestSync(membership, member->record.gossip, member->record.region, output);
    }
}

void syncWithUntriedContact(Membership &membership, TimePoint now, MembershipOutput &output)
{
    if (membership.untriedContacts.empty() || !withinBudget(membership, membership.self.region, now)) {
        return;
    }
    requestSync(membership, membership.untriedContacts.back(), membership.self.region, output);
    membership.untriedContacts.pop_back();
}

void answerSync(Membership &membership, const PeerMessage &request, TimePoint now, Random &random, MembershipOutput &output)
{
    if (request.buckets.size() != digestBuckets || !withinBudget(membership, request.region, now)) {
        return;
    }
    const TableDigest digest = digestOf(membership.table);
    PeerMessage reply = makeMessage(membership, PeerMessageKind::SyncReply);
    reply.departures = departuresOf(membership, request.from, now);
    reply.knewEarlierProcess = knewEarlierProcess(membership, request.from);
    addDifferingEnds(membership, request, reply, now);
    const std::size_t start = uniformIndex(random, digestBuckets);
    std::size_t size = 0;
    for (std::size_t i = 0; i < digestBuckets; ++i) {
        const std::size_t bucket = (start + i) % digestBuckets;
        if (digest.at(bucket) == request.buckets[bucket]) {
            continue;
        }
        std::vector<MemberUpdate> updates = bucketUpdates(membership, bucket);
        for (const auto &update : updates) {
            size += sizeBound(update);
        }
        if (size > membership.options.maxSyncBytes && !reply.differing.empty()) {
            reply.more = true;
            break;
        }
        reply.differing.push_back(static_cast<std::uint32_t>(bucket));
        std::move(updates.begin(), updates.end(), std::back_inserter(reply.updates));
    }
    queueMessage(membership, request.replyTo, request.region, reply, output);
}

void handleSyncReply(Membership &membership, const PeerMessage &reply, bool changed, TimePoint now, Random &random, MembershipOutput &output)
{
    sendMissingUpdates(membership, reply, output);
    output.departures.insert(output.departures.end(), reply.departures.begin(), reply.departures.end());
    output.earlierProcessTold = reply.knewEarlierProcess;
    if (reply.more && changed) {
        requestSync(membership, reply.replyTo, reply.region, output);
        return;
    }
    membership.joined = true;
    const Duration interval = reply.differing.empty() ? membership.options.syncInterval : membership.options.fastSyncInterval;
    membership.syncAt = jittered(now, interval, random);
}

} // namespace agatedoor
