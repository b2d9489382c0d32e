#include "membership_merge.hpp"

#include "membership_gossip.hpp"

#include <algorithm>
#include <tuple>

namespace agatedoor {

namespace {

Deadline statusDeadline(const MembershipOptions &options, MemberStatus status, TimePoint now)
{
    switch (status) {
    case MemberStatus::Alive:
        return {TimePoint::max()};
    case MemberStatus::Suspect:
        return deadlineAfter(now, options.suspicionTimeout);
    case MemberStatus::Left:
    case MemberStatus::Dead:
        return deadlineAfter(now, options.forgetAfter);
    }
    return {TimePoint::max()};
}

bool sameAsKnown(const MemberUpdate &update, const MemberEntry &entry)
{
    return update.status == entry.status && update.record.incarnation == entry.record.incarnation && update.record.version == entry.record.version;
}

/// True when @p update about this node carries a newer record than its own, or the same one with a status other than alive while this node is not leaving.
bool needsRefutation(const Membership &membership, const MemberUpdate &update)
{
    const MemberRecord &self = membership.self;
    const auto theirs = std::tie(update.record.incarnation, update.record.version);
    const auto own = std::tie(self.incarnation, self.version);
    return theirs > own || (theirs == own && update.status != MemberStatus::Alive && !membership.leaving);
}

/// Publishes a newer record of this node if @p update is wrong. Returns true when it did.
bool refute(Membership &membership, const MemberUpdate &update, MembershipOutput &output)
{
    if (!needsRefutation(membership, update)) {
        return false;
    }
    if (update.record.incarnation > membership.self.incarnation) {
        membership.self.incarnation = {update.record.incarnation.value + 1};
        output.incarnationChanged = true;
    }
    membership.self.version = {std::max(membership.self.version.value, update.record.version.value) + 1};
    publishSelf(membership);
    output.viewChanged = true;
    return true;
}

/// Updates about dead or left members carry no backend servers; the known ones are kept, so that they can stay routable as a last resort.
void keepBackends(MemberUpdate &update, const MemberEntry &entry)
{
    if (!present(update.status)) {
        update.record.backends = entry.record.backends;
    }
}

/// Copies the departures that the member's process acknowledged into the entry, so that they outlast that process's record.
void keepDepartures(MemberEntry &entry, TimePoint now)
{
    for (const auto &departure : entry.record.departures) {
        recordDeparture(entry.departures, departure, now);
    }
}

/// Hands over the departures that an earlier process of this node acknowledged; this one must apply them too.
void restoreDepartures(const Membership &membership, const MemberRecord &earlier, MembershipOutput &output)
{
    if (earlier.incarnation != membership.self.incarnation) {
        output.departures.insert(output.departures.end(), earlier.departures.begin(), earlier.departures.end());
    }
}

} // namespace

void setStatus(Membership &membership, MemberEntry &entry, MemberStatus status, TimePoint now)
{
    if (!present(status) && present(entry.status)) {
        keepDepartures(entry, now);
    }
    if (status == MemberStatus::Dead && present(entry.status)) {
        entry.heldUntil = deadlineAfter(now, membership.options.lossWindow);
    }
    if (present(status) || status == MemberStatus::Left) {
        entry.heldUntil = {TimePoint::min()};
    }
    entry.status = status;
    entry.statusDeadline = statusDeadline(membership.options, status, now);
    queueUpdate(membership, entry.record.node);
}

void publishSelf(Membership &membership)
{
    const MemberStatus status = membership.leaving ? MemberStatus::Left : MemberStatus::Alive;
    MemberEntry &entry = membership.table.members[membership.self.node];
    entry = MemberEntry{membership.self, status};
    queueUpdate(membership, membership.self.node);
}

bool applyUpdate(Membership &membership, const MemberUpdate &update, TimePoint now, MembershipOutput &output)
{
    if (update.record.node == membership.self.node) {
        restoreDepartures(membership, update.record, output);
        return refute(membership, update, output);
    }
    const auto found = membership.table.members.find(update.record.node);
    const bool known = found != membership.table.members.end();
    if (!known && !present(update.status)) {
        return false;
    }
    if (known && !supersedes(update, found->second)) {
        // A peer that sends the same update already has it: that saves one of the transmissions left.
        const auto queued = membership.queuedUpdates.find(update.record.node);
        if (queued != membership.queuedUpdates.end() && sameAsKnown(update, found->second) && --queued->second <= 0) {
            membership.queuedUpdates.erase(queued);
        }
        return false;
    }
    if (present(update.status) && (!known || update.record.incarnation > found->second.record.incarnation)) {
        output.connectionsToReopen.push_back(update.record.gossip);
    }
    MemberUpdate taken = update;
    if (known) {
        if (present(found->second.status) && taken.record.incarnation != found->second.record.incarnation) {
            keepDepartures(found->second, now);
        }
        found->second.restarted = found->second.restarted || taken.record.incarnation != found->second.record.incarnation;
        keepBackends(taken, found->second);
        found->second.record = std::move(taken.record);
    }
    MemberEntry &entry = known ? found->second : membership.table.members.emplace(update.record.node, MemberEntry{taken.record}).first->second;
    setStatus(membership, entry, update.status, now);
    output.viewChanged = true;
    return true;
}

void resumeAfterPause(Membership &membership, Duration pause, MembershipOutput &output)
{
    membership.probes.clear();
    membership.relays.clear();
    const bool outdated = pause > membership.options.forgetAfter / 2;
    auto &members = membership.table.members;
    for (auto it = members.begin(); it != members.end();) {
        const bool drop = outdated && it->first != membership.self.node;
        if (drop) {
            addContacts(membership, {it->second.record.gossip});
            output.viewChanged = true;
        } else if (it->second.status == MemberStatus::Suspect) {
            it->second.statusDeadline.at += pause;
        }
        it = drop ? members.erase(it) : std::next(it);
    }
    membership.joined = membership.joined && !outdated;
}

} // namespace agatedoor
