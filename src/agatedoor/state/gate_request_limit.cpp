#include "agatedoor/state/gate_request_limit.hpp"

namespace agatedoor {

void recordLimitNotice(Gate &gate, const LimitNotice &notice, TimePoint now)
{
    if (!notice.rate && gate.limitHeard.load() && !requestsLimited(gate)) {
        return;
    }
    const std::lock_guard lock(gate.queue.mutex);
    applyNotice(gate.queue.requestLimit, notice, now);
    gate.limitHeard.store(true);
    gate.requestLimit.store(gate.queue.requestLimit.rate);
}

void adoptRequestLimit(Gate &gate, double rate, TimePoint now)
{
    if (gate.limitHeard.load()) {
        return;
    }
    const std::lock_guard lock(gate.queue.mutex);
    adoptRate(gate.queue.requestLimit, rate, now);
    gate.requestLimit.store(gate.queue.requestLimit.rate);
}

bool requestsLimited(const Gate &gate)
{
    return gate.requestLimit.load() > 0;
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
