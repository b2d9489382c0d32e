#pragma once

#include "agatedoor/state/gate.hpp"

#include <memory>

/// @brief Limits the open connections to one backend server across all request threads.
///
/// A request that holds a slot uses one connection. Idle connections are limited to the announced connections minus the
/// announced slots, so a request with a slot can always open a connection, whichever threads keep the idle ones.
namespace agatedoor {

/// @brief Permit for one open connection. The destructor returns it, so destroy it only after the connection is closed.
class ConnectionLease
{
public:
    /// @brief Takes a permit; null when the announced number of connections is already open.
    static std::unique_ptr<ConnectionLease> take(const std::shared_ptr<Gate> &gate);
    ~ConnectionLease();
    ConnectionLease(const ConnectionLease &) = delete;
    ConnectionLease &operator=(const ConnectionLease &) = delete;

    /// @brief Marks the connection as idle. False when too many are idle and it must be closed.
    bool markIdle();
    /// @brief Marks the connection as used by a request.
    void markBusy();
    bool belongsTo(const Gate &gate) const { return m_gate.get() == &gate; }

private:
    explicit ConnectionLease(const std::shared_ptr<Gate> &gate);

    std::shared_ptr<Gate> m_gate;
    bool m_idle = false;
};

} // namespace agatedoor
