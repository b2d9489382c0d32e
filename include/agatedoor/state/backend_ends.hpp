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
/// beside several ends. Nodes exchange the records, which merge in any order.
namespace agatedoor {

/// @brief A request that was in progress when a backend server ended.
struct RequestBesideEnd
{
    ContentDigest content;
    bool answeredSince = false; ///< A backend server has answered the same request since, so it didn't cause the end.

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

/// @brief Number of ends that count for @p content at @p now.
int endsBeside(const BackendEnds &ends, const ContentDigest &content, TimePoint now);

/// @brief Removes the ends that are to be forgotten at @p now.
void forgetOldEnds(BackendEnds &ends, TimePoint now);

/// @brief Hash of all records, equal on nodes that know the same; 0 when there are none.
std::uint64_t digestOf(const BackendEnds &ends);

} // namespace agatedoor
