#pragma once

#include "agatedoor/base/outcome.hpp"
#include "agatedoor/base/time.hpp"
#include "agatedoor/state/backend_stats.hpp"
#include "http_types.hpp"

#include <optional>

/// @brief Result of one attempt to run a request on one backend server.
namespace agatedoor {

/// @brief Outcome of an attempt, with the response and load report if there are any.
struct AttemptResult
{
    RunOutcome outcome = RunOutcome::Unknown;
    Reason reason = Reason::None;
    std::optional<StringResponse> response; ///< Present when outcome is Answered.
    BackendEndId end; ///< With Reason::BackendEnded: the end that was noticed.
    std::optional<Deadline> returnAt; ///< When the owning node that refused the request expects to have room for it, if it does.
    std::optional<LoadReport> load; ///< Load of the backend server as the node that owns it reported it, if it did.
};

/// @brief Result of an attempt whose request certainly did not run.
AttemptResult notRun(Reason reason);

/// @brief Result of an attempt whose request may have run.
AttemptResult unknownOutcome(Reason reason);

} // namespace agatedoor
