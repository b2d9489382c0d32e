#include "agatedoor/membership/contact_role.hpp"

#include "agatedoor/base/random_time.hpp"

namespace agatedoor {

namespace {

/// Nodes that start together find nobody in their first read. Those whose second read comes first register, the others
/// find them.
ContactRead lonelyRead(ContactRole &role, const ContactOptions &options, Random &random, TimePoint now)
{
    const bool first = role.nextRead == TimePoint{};
    role.nextRead = now + (first ? uniformTime(random, options.firstPause) : options.lonelyRead);
    role.latestRead = !first;
    return first ? ContactRead::Recent : ContactRead::Latest;
}

bool shouldHoldAlone(const ContactRole &role, const ContactView &view, const ContactOptions &options, TimePoint now)
{
    const bool trusted = now < role.startedAt + options.standBack;
    const bool enough = role.zoneContacts >= options.perZone && trusted;
    return view.holding || (role.latestRead && !enough);
}

} // namespace

ContactRead dueRead(ContactRole &role, const ContactView &view, const ContactOptions &options, Random &random, TimePoint now)
{
    if (now < role.nextRead) {
        return ContactRead::None;
    }
    if (view.lonely) {
        return lonelyRead(role, options, random, now);
    }
    if (!view.holding) {
        return ContactRead::None;
    }
    role.nextRead = now + options.contactRead;
    role.latestRead = false;
    return ContactRead::Recent;
}

void noteContacts(ContactRole &role, std::size_t zoneContacts)
{
    role.zoneContacts = zoneContacts;
}

bool shouldHold(ContactRole &role, const ContactView &view, const ContactOptions &options, TimePoint now)
{
    if (view.lonely) {
        role.changedAt.reset();
        return shouldHoldAlone(role, view, options, now);
    }
    if (view.chosen == view.holding) {
        role.changedAt.reset();
        return view.holding;
    }
    role.changedAt = role.changedAt.value_or(now);
    const bool settled = now - *role.changedAt >= options.settleTime;
    return settled ? view.chosen : view.holding;
}

} // namespace agatedoor
