#pragma once

#include "agatedoor/state/backend_ends.hpp"

#include <optional>

/// @brief Decides when a refused request is tried once more, to learn whether it still ends the backend server that runs it.
///
/// Like the half-open state of a circuit breaker, but one for the whole fleet: trials of a request are numbered, and a node makes the one of
/// a number only when the store has granted that number to it. So they stay few, however many nodes refuse the request.
namespace agatedoor {

/// @brief Limits of trials.
struct TrialOptions
{
    int maxTrials = 2; ///< Of one request, for as long as its ends are remembered.
    Duration waitIfAnsweredBefore = std::chrono::seconds(3); ///< After the last end; backend servers that crashed are back after some seconds.
    Duration wait = std::chrono::seconds(20); ///< The same for a request that isn't known to have ever been answered.
    Duration waitBetween = std::chrono::seconds(30); ///< After a trial that wasn't answered.
    /// Nodes that may make a trial become free to ask for it one after the other, each this much later than the one before, on average.
    Duration perNode = std::chrono::microseconds(2500);
};

/// @brief A numbered trial of a request.
struct RequestTrial
{
    ContentDigest content;
    int number = 0; ///< Counted from 0.

    friend auto operator<=>(const RequestTrial &, const RequestTrial &) = default;
};

/// @brief What a node knows of a request that it refuses.
struct RefusedRequest
{
    ContentDigest content;
    RequestSuspicion suspicion;
    bool answeredBefore = false; ///< This node has passed on an answer to the same request, before the ends.
};

/// @brief Fleet in which a trial is to be made.
struct TrialFleet
{
    NodeId self;
    std::int64_t nodes = 1;
};

/// @brief The next trial of @p request if it is due at @p now; none when it isn't yet or when all were made.
std::optional<RequestTrial> dueTrial(const RefusedRequest &request, const TrialFleet &fleet, TimePoint now, const TrialOptions &options = {});

} // namespace agatedoor
