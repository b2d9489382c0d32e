#include "agatedoor/membership/fleet_view.hpp"

#include "agatedoor/membership/fleet_subset.hpp"

#include <algorithm>
#include <iterator>

namespace agatedoor {

namespace {

/// State of one backend server in the previous view, with the process it belongs to.
struct PreviousState
{
    std::shared_ptr<BackendStats> stats;
    TimePoint joinedAt;
    Incarnation incarnation;
    UnixTime born;
};

using PreviousBackends = std::unordered_map<BackendId, PreviousState>;

PreviousBackends previousBackends(const FleetView &view)
{
    PreviousBackends known;
    for (const auto &[service, entries] : view.services) {
        for (const auto &entry : entries) {
            known[entry.backend] = {entry.stats, entry.joinedAt, entry.incarnation, entry.born};
        }
    }
    return known;
}

bool routable(const MemberEntry &member)
{
    return present(member.status) && !member.record.stopping;
}

bool heldAsLastResort(const MemberEntry &member, TimePoint now)
{
    return member.status == MemberStatus::Dead && !expired(member.heldUntil, now) && !member.record.stopping;
}

BackendEntry makeEntry(const MemberEntry &owner, const BackendRecord &backend, const NodeLocation &here, const PreviousBackends &known, TimePoint now)
{
    const MemberRecord &member = owner.record;
    const bool left = departureStepOf(owner.departures, backend.backend, backend.born, now).has_value();
    BackendEntry entry;
    entry.backend = backend.backend;
    entry.node = member.node;
    entry.zone = member.zone;
    entry.region = member.region;
    entry.incarnation = member.incarnation;
    entry.born = backend.born;
    entry.peers = member.peers;
    entry.locality = localityOf(here, member);
    entry.slots = backend.slots;
    entry.connections = backend.connections;
    entry.draining = left || backend.status == BackendStatus::Draining;
    const auto found = known.find(backend.backend);
    const bool carried = found != known.end() && found->second.incarnation == member.incarnation && found->second.born == backend.born;
    entry.stats = carried ? found->second.stats : std::make_shared<BackendStats>();
    entry.joinedAt = carried ? found->second.joinedAt : now;
    return entry;
}

void addEntries(FleetView &view, const MemberEntry &owner, const NodeLocation &here, const PreviousBackends &known, TimePoint now)
{
    for (const auto &backend : owner.record.backends) {
        view.services[backend.service].push_back(makeEntry(owner, backend, here, known, now));
    }
}

/// Adds @p departures; of two for one backend server, the superseding one is kept.
void addDepartures(FleetView &view, const std::vector<Departure> &departures)
{
    for (const auto &departure : departures) {
        const auto [known, added] = view.departures.try_emplace(departure.backend, departure);
        if (!added && supersedes(departure, known->second)) {
            known->second = departure;
        }
    }
}

/// Adds the lost backend servers of each service that has lost more than it has left.
void addLost(FleetView &view, FleetView &&lost)
{
    for (auto &[service, entries] : lost.services) {
        auto &remaining = view.services[service];
        if (remaining.size() < entries.size()) {
            std::move(entries.begin(), entries.end(), std::back_inserter(remaining));
        }
    }
}

} // namespace

Locality localityOf(const NodeLocation &here, const MemberRecord &member)
{
    if (here.region != member.region) {
        return Locality::OtherRegion;
    }
    return here.zone == member.zone ? Locality::SameZone : Locality::SameRegion;
}

std::shared_ptr<const FleetView> buildView(const FleetTable &table, const NodeLocation &here, const FleetView &previous, TimePoint now, bool keepLost)
{
    const PreviousBackends known = previousBackends(previous);
    auto view = std::make_shared<FleetView>();
    FleetView lost;
    std::int64_t nodes = 0;
    for (const auto &[node, member] : table.members) {
        if (present(member.status)) {
            addDepartures(*view, member.record.departures);
        }
        addDepartures(*view, activeDepartures(member.departures, now));
        if (routable(member)) {
            ++nodes;
            addEntries(*view, member, here, known, now);
        } else if (keepLost && heldAsLastResort(member, now)) {
            addEntries(lost, member, here, known, now);
        }
    }
    addLost(*view, std::move(lost));
    view->nodes = std::max<std::int64_t>(1, nodes);
    applySubsets(*view, here.node, nodes);
    return view;
}

} // namespace agatedoor
