#include "agatedoor/state/head_confirmation.hpp"

#include <utility>

namespace agatedoor {

bool SharedHeadConfirmation::record(const HeadConfirmation &confirmation, Generation inForce)
{
    const std::lock_guard lock(m_mutex);
    const bool changed = publishEvacuated(confirmation);
    if (confirmation.generation <= inForce) {
        keepNewest(confirmation);
    } else if (!m_waiting || m_waiting->at < confirmation.at) {
        m_waiting = confirmation;
    }
    return changed;
}

/// Call with the mutex held.
bool SharedHeadConfirmation::publishEvacuated(const HeadConfirmation &confirmation)
{
    if (confirmation.at <= m_evacuatedAt) {
        return false;
    }
    m_evacuatedAt = confirmation.at;
    if (*m_evacuated.current() == confirmation.evacuated) {
        return false;
    }
    m_evacuated.publish(std::make_shared<const EvacuatedZones>(confirmation.evacuated));
    return true;
}

void SharedHeadConfirmation::noteInForce(Generation inForce)
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting && m_waiting->generation <= inForce) {
        keepNewest(*std::exchange(m_waiting, std::nullopt));
    }
}

/// Call with the mutex held.
void SharedHeadConfirmation::keepNewest(const HeadConfirmation &confirmation)
{
    if (!m_current || m_current->at < confirmation.at) {
        m_current = confirmation;
        m_currentAt.store(confirmation.at);
    }
}

std::optional<BootTime> SharedHeadConfirmation::confirmedAt() const
{
    const BootTime at = m_currentAt.load();
    return at == BootTime::min() ? std::nullopt : std::optional(at);
}

std::optional<HeadConfirmation> SharedHeadConfirmation::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

std::optional<BootTime> SharedHeadConfirmation::newestAt() const
{
    const std::lock_guard lock(m_mutex);
    std::optional<BootTime> newest;
    for (const auto &known : {m_current, m_waiting}) {
        newest = known && (!newest || *newest < known->at) ? std::optional(known->at) : newest;
    }
    return newest;
}

std::optional<Duration> ageOf(const std::optional<HeadConfirmation> &confirmation, BootTime now)
{
    return confirmation ? std::optional<Duration>(now - confirmation->at) : std::nullopt;
}

} // namespace agatedoor
