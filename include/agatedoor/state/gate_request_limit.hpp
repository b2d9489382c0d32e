#pragma once

#include "agatedoor/state/gate.hpp"

/// @brief The request limit of a gate: the rate that its backend server names in its answers.
namespace agatedoor {

/// @brief Records what an answer said of the limit.
void recordLimitNotice(Gate &gate, const LimitNotice &notice, TimePoint now);

/// @brief Records the rate that another node remembers; without effect once an answer has reached this node.
void adoptRequestLimit(Gate &gate, double rate, TimePoint now);

/// @brief True while a limit is in force.
bool requestsLimited(const Gate &gate);

/// @brief One request out of the limit. It is given back when the object is destroyed, unless the request was sent.
class LimitedRequest
{
public:
    /// @brief Takes a request from the limit of @p gate, if there is one left.
    LimitedRequest(std::shared_ptr<Gate> gate, TimePoint now);
    ~LimitedRequest();
    LimitedRequest(const LimitedRequest &) = delete;
    LimitedRequest &operator=(const LimitedRequest &) = delete;

    /// @brief False when the limit is used up; the request must not be sent.
    bool allowed() const { return m_allowed; }
    /// @brief Keeps the request taken.
    void keep() { m_taken = false; }

private:
    std::shared_ptr<Gate> m_gate;
    bool m_taken = false;
    bool m_allowed = true;
};

} // namespace agatedoor
