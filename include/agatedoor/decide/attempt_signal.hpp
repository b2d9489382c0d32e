#pragma once

#include "agatedoor/base/outcome.hpp"
#include "agatedoor/base/time.hpp"

/// @brief Classifies the result of an attempt by what it says about the health of the backend server.
namespace agatedoor {

/// @brief What an attempt's result means for later routing decisions.
enum class AttemptSignal {
    Success, ///< A complete answer other than a server error.
    Fault, ///< The backend server failed; counts towards its ejection.
    Overloaded, ///< Refused because of load; the backend server is busy but healthy.
    Slow, ///< Refused because the VM of the backend server is currently slow.
    Unavailable, ///< Shutting down, or this node's view of the fleet is out of date: avoid it for a while without counting a fault.
    Neutral, ///< No information about the backend server, such as a caller that disconnected.
};

/// @brief Result and duration of one attempt.
struct AttemptEnd
{
    RunOutcome outcome = RunOutcome::Unknown;
    Reason reason = Reason::None;
    int status = 0; ///< HTTP status of an answer; 0 when there was none.
    Duration elapsed{0}; ///< From the start of the attempt to its end.
    Duration expected{0}; ///< Response time that was predicted at the start; 0 when unknown.
};

/// @brief Tells overload, unavailability and faults apart.
/// A timeout counts as a fault only after several times the expected time. Otherwise callers with short deadlines would get
/// healthy backend servers ejected.
AttemptSignal classifyAttempt(const AttemptEnd &end);

/// @brief True when the duration of an answer with this HTTP status is a valid sample of the service time.
/// Rejections and server errors aren't: they may end before any work is done.
bool countsAsServiceTime(int status);

} // namespace agatedoor
