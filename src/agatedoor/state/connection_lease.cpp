#include "agatedoor/state/connection_lease.hpp"

namespace agatedoor {

namespace {

bool incrementBelow(std::atomic<std::int64_t> &counter, std::int64_t limit)
{
    std::int64_t seen = counter.load(std::memory_order_relaxed);
    while (seen < limit) {
        if (counter.compare_exchange_weak(seen, seen + 1, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

} // namespace

ConnectionLease::ConnectionLease(const std::shared_ptr<Gate> &gate)
    : m_gate(gate)
{
}

std::unique_ptr<ConnectionLease> ConnectionLease::take(const std::shared_ptr<Gate> &gate)
{
    if (!incrementBelow(gate->openConnections, gate->announcedConnections.load(std::memory_order_relaxed))) {
        return nullptr;
    }
    return std::unique_ptr<ConnectionLease>(new ConnectionLease(gate));
}

ConnectionLease::~ConnectionLease()
{
    markBusy();
    m_gate->openConnections.fetch_sub(1, std::memory_order_relaxed);
}

bool ConnectionLease::markIdle()
{
    const std::int64_t spare = m_gate->announcedConnections.load(std::memory_order_relaxed) - m_gate->announced.load(std::memory_order_relaxed);
    m_idle = m_idle || incrementBelow(m_gate->idleConnections, spare);
    return m_idle;
}

void ConnectionLease::markBusy()
{
    if (m_idle) {
        m_gate->idleConnections.fetch_sub(1, std::memory_order_relaxed);
        m_idle = false;
    }
}

} // namespace agatedoor
