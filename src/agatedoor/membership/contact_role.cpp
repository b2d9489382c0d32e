#include "agatedoor/membership/contact_role.hpp"

#include "agatedoor/base/random_time.hpp"

namespace agatedoor {

namespace {

/// When nodes start together, their first reads find no contact. The second reads are spread at random: the nodes that read
/// first register, and the others find them. A registered node is found by the others, so it needs no latest state itself.
ContactRead isolatedRead(ContactRole &role, bool registered, const ContactOptions &options, Random &random, TimePoint now)
{
    const bool first = role.nextRead == TimePoint{};
    role.nextRead = now + (first ? uniformTime(random, options.secondReadSpread) : options.isolatedReadInterval);
    role.readLatest = !first && !registered;
    return role.readLatest ? ContactRead::Latest : ContactRead::Recent;
}

bool shouldHoldIsolated(const ContactRole &role, const ContactView &view, const ContactOptions &options, TimePoint now)
{
    const bool trusted = now < role.startedAt + options.trustTime;
    const bool enough = role.regionContacts >= options.perRegion && trusted;
    return view.registered || (role.readLatest && !enough);
}

} // namespace

ContactRead dueContactRead(ContactRole &role, const ContactView &view, const ContactOptions &options, Random &random, TimePoint now)
{
    if (now < role.nextRead) {
        return ContactRead::None;
    }
    if (view.isolated) {
        return isolatedRead(role, view.registered, options, random, now);
    }
    if (!view.registered) {
        return ContactRead::None;
    }
    role.nextRead = now + options.contactReadInterval;
    role.readLatest = false;
    return ContactRead::Recent;
}

void setRegionContacts(ContactRole &role, std::size_t regionContacts)
{
    role.regionContacts = regionContacts;
}

bool shouldRegister(ContactRole &role, const ContactView &view, const ContactOptions &options, TimePoint now)
{
    if (view.isolated) {
        role.mismatchSince.reset();
        return shouldHoldIsolated(role, view, options, now);
    }
    if (view.chosen == view.registered) {
        role.mismatchSince.reset();
        return view.registered;
    }
    role.mismatchSince = role.mismatchSince.value_or(now);
    const bool settled = now - *role.mismatchSince >= options.settleTime;
    return settled ? view.chosen : view.registered;
}

} // namespace agatedoor
