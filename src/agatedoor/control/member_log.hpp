#pragma once

#include "agatedoor/membership/membership.hpp"

#include <map>

/// @brief Logs which members this node lost and regained.
namespace agatedoor {

/// @brief What was logged of the fleet so far.
struct MemberLog
{
    std::map<NodeId, MemberStatus> statuses; ///< Of each member, as last logged.
    bool joined = false; ///< The line on joining was written.
};

/// @brief Logs what has changed since the last call. Members seen for the first time are only counted, in the line on joining.
void logMemberChanges(MemberLog &log, const Membership &membership);

} // namespace agatedoor
