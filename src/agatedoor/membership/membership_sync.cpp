#include "membership_sync.hpp"

#include "membership_merge.hpp"
#include "membership_news.hpp"

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

/// Sends back what the other side lacks in the buckets that it sent.
void completeSync(Membership &membership, const PeerMessage &reply, MembershipOutput &output)
{
    std::map<NodeId, const MemberUpdate *> theirs;
    for (const auto &update : reply.updates) {
        theirs[update.record.node] = &update;
    }
    PeerMessage back = makeMessage(membership, PeerMessageKind::Gossip);
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
        if (lacking && size <= membership.options.syncBytes) {
            back.updates.push_back(std::move(own));
        }
    }
    if (!back.updates.empty()) {
        post(membership, reply.replyTo, reply.region, back, output);
    }
}

/// What earlier processes of @p node acknowledged, as far as is remembered here.
std::vector<Departure> departuresOf(const Membership &membership, const NodeId &node, TimePoint now)
{
    const auto found = membership.table.members.find(node);
    return found == membership.table.members.end() ? std::vector<Departure>{} : remembered(found->second.departures, now);
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
    const bool byContact = !membership.joined && !membership.contacts.empty() && uniformIndex(random, 2) == 0;
    if (peer == nullptr || byContact) {
        syncWithContact(membership, random, output);
        return;
    }
    if (affordable(membership, peer->record.region, now)) {
        requestSync(membership, peer->record.gossip, peer->record.region, output);
    }
}

void reachLost(Membership &membership, TimePoint now, Random &random, MembershipOutput &output)
{
    std::vector<const MemberEntry *> lost;
    for (const auto &[node, entry] : membership.table.members) {
        if (entry.status == MemberStatus::Dead) {
            lost.push_back(&entry);
        }
    }
    const bool byContact = !membership.contacts.empty() && uniformIndex(random, 2) == 0;
    if (lost.empty() || byContact) {
        syncWithContact(membership, random, output);
        return;
    }
    const MemberEntry *member = lost[uniformIndex(random, lost.size())];
    if (affordable(membership, member->record.region, now)) {
        requestSync(membership, member->record.gossip, member->record.region, output);
    }
}

void tryContact(Membership &membership, TimePoint now, MembershipOutput &output)
{
    if (membership.untried.empty() || !affordable(membership, membership.self.region, now)) {
        return;
    }
    requestSync(membership, membership.untried.back(), membership.self.region, output);
    membership.untried.pop_back();
}

void answerSync(Membership &membership, const PeerMessage &request, TimePoint now, Random &random, MembershipOutput &output)
{
    if (request.buckets.size() != digestBuckets || !affordable(membership, request.region, now)) {
        return;
    }
    const TableDigest digest = digestOf(membership.table);
    PeerMessage reply = makeMessage(membership, PeerMessageKind::SyncReply);
    reply.departures = departuresOf(membership, request.from, now);
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
        if (size > membership.options.syncBytes && !reply.differing.empty()) {
            reply.more = true;
            break;
        }
        reply.differing.push_back(static_cast<std::uint32_t>(bucket));
        std::move(updates.begin(), updates.end(), std::back_inserter(reply.updates));
    }
    post(membership, request.replyTo, request.region, reply, output);
}

void takeSyncReply(Membership &membership, const PeerMessage &reply, bool changed, TimePoint now, Random &random, MembershipOutput &output)
{
    completeSync(membership, reply, output);
    output.departures.insert(output.departures.end(), reply.departures.begin(), reply.departures.end());
    if (reply.more && changed) {
        requestSync(membership, reply.replyTo, reply.region, output);
        return;
    }
    membership.joined = true;
    const Duration interval = reply.differing.empty() ? membership.options.syncInterval : membership.options.busySyncInterval;
    membership.syncAt = jittered(now, interval, random);
}

} // namespace agatedoor
