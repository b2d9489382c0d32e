#include "agatedoor/state/gate_cold.hpp"

#include <algorithm>

namespace agatedoor {

void recordCold(Gate &gate, Duration left, ColdSource source, TimePoint now)
{
    if (left <= Duration::zero() && coldLeft(gate, now) <= Duration::zero()) {
        return;
    }
    const std::lock_guard lock(gate.queue.mutex);
    noteCold(gate.queue.cold, left, source, now);
    gate.coldUntil.store(gate.queue.cold.coldUntil.at);
}

Duration coldLeft(const Gate &gate, TimePoint now)
{
    return std::max<Duration>(gate.coldUntil.load() - now, Duration::zero());
}

bool takeColdRequest(Gate &gate, double requestsPerSecond, TimePoint now)
{
    if (coldLeft(gate, now) <= Duration::zero()) {
        return true;
    }
    const std::lock_guard lock(gate.queue.mutex);
    return takeColdRequest(gate.queue.cold, requestsPerSecond, now);
}

} // namespace agatedoor
