#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/time.hpp"

#include <cstddef>
#include <map>
#include <vector>

/// @brief Remembers which requests were in progress on backend servers that ended unexpectedly, to find those that end each backend server
/// that runs them.
///
/// Every request that was in progress beside an end is suspect; what acquits the others is an answer later on, or that they don't stand
/// beside several ends. One that is refused can't be answered, so a trial may be made of it, see request_trial.hpp. Nodes exchange the
/// records, which merge in any order.
namespace agatedoor {

/// @brief A request that was in progress when a backend server ended.
struct RequestBesideEnd
{
    ContentDigest content;
    bool answeredSince = false; ///< A backend server has answered the same request since, so it didn't cause the end.
    int trials = 0; ///< Trials of the same request since, as far as this end's record knows.
    Deadline nextTrialAt = {}; ///< The next trial is made at this time at the earliest; only with trials.

    friend bool operator==(const RequestBesideEnd &, const RequestBesideEnd &) = default;
};

/// @brief An unexpected end of a backend server process.
struct BackendEnd
{
    BackendEndId id;
    std::vector<RequestBesideEnd> requests;
    Deadline forgetAt;
};

/// @brief Limits of what is remembered.
struct BackendEndOptions
{
    Duration retention = std::chrono::minutes(10);
    std::size_t maxEnds = 64; ///< When it is reached, the end that tells least is dropped.
    std::size_t maxRequests = 32; ///< Beside one end; further ones aren't remembered.
    int refuseAfter = 3; ///< A request that stands beside this many ends is refused.
};

/// @brief Remembered ends.
struct BackendEnds
{
    std::map<BackendEndId, BackendEnd> byId;
};

/// @brief Adds what @p end tells: the end, requests beside it, and which were answered since.
/// @return true when something of it was new
bool mergeEnd(BackendEnds &ends, const BackendEnd &end, const BackendEndOptions &options = {});

/// @brief Notes that a backend server answered @p content, so that the ends so far no longer count for it.
/// @return the ends that this changed
std::vector<BackendEnd> acquit(BackendEnds &ends, const ContentDigest &content);

/// @brief What is known of one request by the ends that count for it.
struct RequestSuspicion
{
    int ends = 0; ///< Unexpected ends beside the request, without an answer since.
    TimePoint lastEndAt; ///< Of the newest of them; the epoch without any.
    int trials = 0; ///< Trials of it so far.
    Deadline nextTrialAt; ///< The next one is made at this time at the earliest; only with trials.
};

/// @brief What the ends that count for @p content at @p now tell of it.
RequestSuspicion suspicionOf(const BackendEnds &ends, const ContentDigest &content, TimePoint now, const BackendEndOptions &options = {});

/// @brief Notes that trials of @p content were made, @p trials in all, and that the next one is due at @p nextAt at the earliest.
/// @return the ends that this changed
std::vector<BackendEnd> noteTrials(BackendEnds &ends, const ContentDigest &content, int trials, Deadline nextAt);

/// @brief Number of ends that count for @p content at @p now.
int endsBeside(const BackendEnds &ends, const ContentDigest &content, TimePoint now);

/// @brief Removes the ends that are to be forgotten at @p now.
void forgetOldEnds(BackendEnds &ends, TimePoint now);

/// @brief Hash of all ends, of the requests beside them and of which were answered, equal on nodes that know the same; 0 when there are none.
/// Trials aren't in it: the store counts them, and a node that hasn't heard of one learns of it when it asks.
std::uint64_t digestOf(const BackendEnds &ends);

} // namespace agatedoor
