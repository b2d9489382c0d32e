#include "agatedoor/membership/local_backends.hpp"

#include "agatedoor/state/gate_cold.hpp"

#include <algorithm>
#include <iterator>

namespace agatedoor {

namespace {

Result<Done, AnnounceError> validate(const BackendRecord &record)
{
    if (record.slots.value < 1 || record.slots.value > maxSlots) {
        return AnnounceError::BadSlots;
    }
    if (record.connections.value < record.slots.value || record.connections.value > maxConnections) {
        return AnnounceError::BadConnections;
    }
    if (record.service.value.empty()) {
        return AnnounceError::BadService;
    }
    return Done{};
}

/// Applies the announced limits and status to the gate.
void applyRecord(Gate &gate, const BackendRecord &record)
{
    gate.announced.store(record.slots.value);
    gate.limit.store(record.slots.value);
    gate.announcedConnections.store(record.connections.value);
    recordConnect(gate, true);
    gate.draining.store(record.status == BackendStatus::Draining || gate.saidItLeaves.load());
}

/// Removes other backend servers at the same address: only one process can listen there, so they have ended.
void removeReplaced(LocalBackends &backends, const Announcement &announcement)
{
    if (announcement.version.born.value == 0) {
        return;
    }
    for (auto it = backends.backends.begin(); it != backends.backends.end();) {
        const bool replaced = it->first != announcement.record.backend && it->second.endpoint == announcement.endpoint;
        if (replaced) {
            it->second.gate->draining.store(true);
        }
        it = replaced ? backends.backends.erase(it) : std::next(it);
    }
}

} // namespace

std::string_view wireName(AnnounceError error)
{
    switch (error) {
    case AnnounceError::BadSlots:
        return "bad-slots";
    case AnnounceError::BadConnections:
        return "bad-connections";
    case AnnounceError::BadService:
        return "bad-service";
    case AnnounceError::Stale:
        return "stale";
    }
    return "unnamed";
}

std::string_view wireName(LeaveEffect effect)
{
    return effect == LeaveEffect::Left ? "accepted" : "remembered";
}

BackendRecord recordForFleet(const LocalBackend &backend)
{
    BackendRecord record = backend.record;
    record.born = backend.version.born;
    if (backend.gate->down.load()) {
        record.status = BackendStatus::Draining;
    }
    return record;
}

std::shared_ptr<Gate> LocalBackendController::newGate(const BackendRecord &record)
{
    auto gate = std::make_shared<Gate>(record.slots, record.connections);
    m_gates[record.backend] = gate;
    return gate;
}

std::shared_ptr<Gate> LocalBackendController::gateOf(const BackendRecord &record)
{
    std::erase_if(m_gates, [](const auto &entry) { return entry.second.expired(); });
    auto gate = m_gates[record.backend].lock();
    return gate ? gate : newGate(record);
}

void LocalBackendController::publish(LocalBackends next)
{
    m_backends.publish(std::make_shared<const LocalBackends>(std::move(next)));
    if (m_listener) {
        m_listener();
    }
}

bool LocalBackendController::isStale(const Announcement &announcement, const LocalBackends &known, TimePoint now) const
{
    const AnnouncementVersion &version = announcement.version;
    if (departureStepOf(m_departures, announcement.record.backend, version.born, now) == DepartureStep::Gone) {
        return true;
    }
    const auto found = known.backends.find(announcement.record.backend);
    if (found == known.backends.end()) {
        return std::any_of(known.backends.begin(), known.backends.end(),
                           [&](const auto &entry) { return entry.second.endpoint == announcement.endpoint && entry.second.version.born > version.born; });
    }
    const AnnouncementVersion &latest = found->second.version;
    return version.born < latest.born || (version.born == latest.born && version.sequence < latest.sequence);
}

Result<Done, AnnounceError> LocalBackendController::announce(const Announcement &received, const ClockReading &now)
{
    BOOST_OUTCOME_TRYV2(auto &&, validate(received.record));
    const std::lock_guard lock(m_publishing);
    const auto known = m_backends.current();
    if (isStale(received, *known, now.at)) {
        return AnnounceError::Stale;
    }
    Announcement announcement = received;
    const BackendId &id = announcement.record.backend;
    if (departureStepOf(m_departures, id, announcement.version.born, now.at)) {
        announcement.record.status = BackendStatus::Draining;
    }
    if (announcement.record.status == BackendStatus::Draining && announcement.version.born.value > 0) {
        recordLeaving(id, DepartureStep::Draining, announcement.version.born, now);
    }
    m_lastAnnouncedAt[id] = now.at;
    const auto found = known->backends.find(id);
    const bool sameProcess = found != known->backends.end() && found->second.version.born == announcement.version.born;
    LocalBackends next = *known;
    auto &backend = next.backends[id];
    if (sameProcess && backend.record == announcement.record && backend.endpoint == announcement.endpoint) {
        backend.version = announcement.version;
        recordConnect(*backend.gate, true);
        recordCold(*backend.gate, announcement.coldLeft, ColdSource::Announcement, now.at);
        m_backends.publish(std::make_shared<const LocalBackends>(std::move(next)));
        return Done{};
    }
    backend.gate = found == known->backends.end() || sameProcess ? gateOf(announcement.record) : newGate(announcement.record);
    backend.record = announcement.record;
    backend.endpoint = announcement.endpoint;
    backend.version = announcement.version;
    if (!sameProcess) {
        backend.gate->saidItLeaves.store(false);
    }
    applyRecord(*backend.gate, announcement.record);
    recordCold(*backend.gate, announcement.coldLeft, ColdSource::Announcement, now.at);
    removeReplaced(next, announcement);
    publish(std::move(next));
    return Done{};
}

std::vector<BackendId> LocalBackendController::forgetSilent(TimePoint since)
{
    const std::lock_guard lock(m_publishing);
    std::vector<BackendId> removed;
    LocalBackends next = *m_backends.current();
    for (auto it = next.backends.begin(); it != next.backends.end();) {
        const auto lastAnnounced = m_lastAnnouncedAt.find(it->first);
        const bool silent = lastAnnounced != m_lastAnnouncedAt.end() && lastAnnounced->second < since;
        if (silent) {
            it->second.gate->draining.store(true);
            removed.push_back(it->first);
            m_lastAnnouncedAt.erase(lastAnnounced);
        }
        it = silent ? next.backends.erase(it) : std::next(it);
    }
    if (!removed.empty()) {
        publish(std::move(next));
    }
    return removed;
}

/// If the start time is unknown, the only certainty is that the process started before now, so now is used.
void LocalBackendController::recordLeaving(const BackendId &backend, DepartureStep step, UnixTime born, const ClockReading &now)
{
    UnixTime lastBorn = born.value > 0 ? born : now.timeOfDay;
    const auto earlier = m_departures.byBackend.find(backend);
    if (earlier != m_departures.byBackend.end()) {
        lastBorn = std::max(lastBorn, earlier->second.departure.lastBorn);
    }
    recordDeparture(m_departures, {backend, step, lastBorn}, now.at);
}

void LocalBackendController::stopBackend(LocalBackends &backends, const BackendId &backend, DepartureStep step)
{
    LocalBackend &known = backends.backends.at(backend);
    known.gate->draining.store(true);
    known.record.status = BackendStatus::Draining;
    if (step == DepartureStep::Gone) {
        m_lastAnnouncedAt.erase(backend);
        backends.backends.erase(backend);
    }
}

LeaveEffect LocalBackendController::leave(const BackendId &backend, DepartureStep step, const ClockReading &now)
{
    const std::lock_guard lock(m_publishing);
    LocalBackends next = *m_backends.current();
    const auto found = next.backends.find(backend);
    const bool known = found != next.backends.end();
    recordLeaving(backend, step, known ? found->second.version.born : UnixTime{}, now);
    if (known) {
        stopBackend(next, backend, step);
    }
    publish(std::move(next));
    return known ? LeaveEffect::Left : LeaveEffect::Remembered;
}

LeaveEffect LocalBackendController::drain(const BackendId &backend, const ClockReading &now)
{
    return leave(backend, DepartureStep::Draining, now);
}

LeaveEffect LocalBackendController::withdraw(const BackendId &backend, const ClockReading &now)
{
    return leave(backend, DepartureStep::Gone, now);
}

std::vector<Departure> LocalBackendController::applyDepartures(const std::vector<Departure> &departures, TimePoint now)
{
    const std::lock_guard lock(m_publishing);
    LocalBackends next = *m_backends.current();
    std::vector<Departure> added;
    for (const auto &departure : departures) {
        if (!recordDeparture(m_departures, departure, now)) {
            continue;
        }
        added.push_back(departure);
        const auto found = next.backends.find(departure.backend);
        const auto step = found == next.backends.end() ? std::nullopt : departureStepOf(m_departures, departure.backend, found->second.version.born, now);
        if (step) {
            stopBackend(next, departure.backend, *step);
        }
    }
    if (!added.empty()) {
        publish(std::move(next));
    }
    return added;
}

std::vector<Departure> LocalBackendController::applySaidLeaves(const ClockReading &now)
{
    std::vector<Departure> leaves;
    for (const auto &[id, backend] : current()->backends) {
        if (backend.gate->saidItLeaves.load() && backend.record.status != BackendStatus::Draining) {
            const UnixTime lastBorn = backend.version.born.value > 0 ? backend.version.born : now.timeOfDay;
            leaves.push_back({id, DepartureStep::Draining, lastBorn});
        }
    }
    return leaves.empty() ? leaves : applyDepartures(leaves, now.at);
}

std::vector<Departure> LocalBackendController::departures(TimePoint now) const
{
    const std::lock_guard lock(m_publishing);
    return activeDepartures(m_departures, now);
}

} // namespace agatedoor
