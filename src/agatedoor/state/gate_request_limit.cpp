#include "agatedoor/state/gate_request_limit.hpp"

namespace agatedoor {

void recordLimitNotice(Gate &gate, const LimitNotice &notice, TimePoint now)
{
    if (!notice.rate && gate.limitHeard.load() && !gate.requestsLimited.load()) {
        return;
    }
    const std::lock_guard lock(gate.queue.mutex);
    applyNotice(gate.queue.requestLimit, notice, now);
    gate.limitHeard.store(true);
    gate.requestsLimited.store(gate.queue.requestLimit.rate > 0);
}

void adoptRequestLimit(Gate &gate, double rate, TimePoint now)
{
    if (gate.limitHeard.load()) {
        return;
    }
    const std::lock_guard lock(gate.queue.mutex);
    adoptRate(gate.queue.requestLimit, rate, now);
    gate.requestsLimited.store(gate.queue.requestLimit.rate > 0);
}

bool requestsLimited(const Gate &gate)
{
    return gate.requestsLimited.load();
}

LimitedRequest::LimitedRequest(std::shared_ptr<Gate> gate, TimePoint now)
    : m_gate(std::move(gate))
{
    if (!requestsLimited(*m_gate)) {
        return;
    }
    const std::lock_guard lock(m_gate->queue.mutex);
    m_allowed = takeRequest(m_gate->queue.requestLimit, now);
    m_taken = m_allowed;
}

LimitedRequest::~LimitedRequest()
{
    if (m_taken) {
        const std::lock_guard lock(m_gate->queue.mutex);
        returnRequest(m_gate->queue.requestLimit);
    }
}

} // namespace agatedoor
