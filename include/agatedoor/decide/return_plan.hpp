#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/decide/admission.hpp"

/// @brief When the callers that one backend server refused for load may come back.
///
/// Answers the pattern of callers that all come back within the same moment, find the queue full again, and are refused for the
/// second time. Each refused caller is given a time of its own: when what waits now is served, and after those that were refused
/// before it, one after the other as fast as a part of the slots becomes free. The rest is for new requests.
namespace agatedoor {

/// @brief Limits of the plan.
struct ReturnPlanOptions
{
    Duration least = std::chrono::milliseconds(100); ///< Shortest time: nobody is sent back at once.
    Duration limit{0}; ///< Longest time.
    double share = 0.5; ///< Of the slots that become free, for callers that come back.
};

/// @brief Plan of one backend server.
struct ReturnPlan
{
    Deadline next; ///< Earliest time for the next refused caller.
};

/// @brief Time at which the caller that is refused at @p now may come back; takes that time out of the plan.
Deadline planReturn(ReturnPlan &plan, const BackendLoad &load, const ReturnPlanOptions &options, TimePoint now);

} // namespace agatedoor
