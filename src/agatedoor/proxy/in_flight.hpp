#pragma once

#include "agatedoor/control/node_state.hpp"

/// @brief Counts requests in progress; a graceful shutdown waits until there are none.
namespace agatedoor {

/// @brief Counts one request as in progress during its lifetime.
class InFlight
{
public:
    explicit InFlight(NodeState &node)
        : m_node(node)
    {
        m_node.inFlight.fetch_add(1);
    }
    ~InFlight() { m_node.inFlight.fetch_sub(1); }
    InFlight(const InFlight &) = delete;
    InFlight &operator=(const InFlight &) = delete;

private:
    NodeState &m_node;
};

} // namespace agatedoor
