#pragma once

#include "agatedoor/base/time.hpp"

#include <array>

/// @brief Search of one request for a VM that isn't currently slow.
///
/// A request can't change its VM once it runs. When an owning node refuses it because the VM is slow, it is first offered to
/// others, in steps that accept a longer distance or a longer wait.
namespace agatedoor {

/// @brief Steps of the search, in order.
enum class PaceSearchStep {
    Near, ///< Tries backend servers of its region, without waiting.
    HoldNear, ///< Tries its region again and may wait there for the VM to recover.
    Far, ///< Tries every region, without waiting.
    HoldAnywhere, ///< Tries every region, waits there, and then starts even if the VM is still slow.
};

/// @brief Limits of the search.
struct PaceSearchOptions
{
    std::array<int, 4> slowMet{2, 3, 5, 7}; ///< Total number of refusals by slow VMs after which each step ends, indexed by PaceSearchStep.
    int holdDivisor = 3; ///< A hold takes the time left to the aim divided by this, within the two bounds below.
    Duration minHold = std::chrono::milliseconds(30);
    Duration maxHold = std::chrono::milliseconds(250); ///< Longer than most slowdowns.
};

/// @brief Progress of one request's search.
struct PaceSearch
{
    PaceSearchStep step = PaceSearchStep::Near;
    int slowMet = 0; ///< Attempts that were refused because the VM was slow.
};

/// @brief Constraints on the next attempts of a request.
struct SearchConstraints
{
    bool nearOnly = true; ///< Stay in the own region while it has a usable backend server.
    bool last = false; ///< Start even on a slow VM when the hold ends.
    Deadline holdUntil; ///< Time until which an attempt may be held on a slow VM.
};

/// @brief True when the current step has reached its number of slow VMs.
bool stepExhausted(const PaceSearch &search, const PaceSearchOptions &options);

/// @brief True when there is a next step and at least one slow VM was met.
bool hasNextStep(const PaceSearch &search);

/// @brief Advances to the next step, which must exist, and returns its constraints.
/// @param aim time by which the caller would like its answer; the deadline when it states none
SearchConstraints advanceSearch(PaceSearch &search, const PaceSearchOptions &options, Deadline aim, Deadline deadline, TimePoint now);

} // namespace agatedoor
