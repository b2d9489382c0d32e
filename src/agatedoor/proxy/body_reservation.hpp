#pragma once

#include "agatedoor/control/node_state.hpp"

/// @brief Limits the memory that request bodies take on a node.
namespace agatedoor {

/// @brief Limit on the total size of the request bodies that a node holds at once.
inline constexpr std::int64_t bodyMemoryBytes = 48LL * 1024 * 1024;

/// @brief Reserves memory for one body during its lifetime.
class BodyReservation
{
public:
    BodyReservation(NodeState &node, std::int64_t size)
        : m_node(node)
        , m_size(size)
        , m_granted(node.bodyBytes.fetch_add(size) + size <= bodyMemoryBytes)
    {
    }
    ~BodyReservation() { m_node.bodyBytes.fetch_sub(m_size); }
    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;

    /// @brief False when the reservation exceeds the node's limit; the request must then be refused.
    bool granted() const { return m_granted; }

private:
    NodeState &m_node;
    std::int64_t m_size;
    bool m_granted;
};

} // namespace agatedoor
