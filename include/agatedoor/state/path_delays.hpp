#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/decide/candidate.hpp"

#include <array>
#include <atomic>
#include <cstdint>

/// @brief Round-trip times to the nodes that own backend servers, estimated from forwarded requests, one estimate per locality.
namespace agatedoor {

/// @brief Moving averages shared by the request threads, indexed by Locality; they start at typical values.
struct PathDelays
{
    std::array<std::atomic<std::int64_t>, localityCount> nanoseconds{200'000, 3'000'000, 17'000'000};
};

/// @brief Expected round-trip time to an owning node at @p locality.
Duration pathDelay(const PathDelays &delays, Locality locality);

/// @brief Updates the estimate from a forwarded request that took @p elapsed, of which it spent @p timeAtOwner at the owning node.
/// A sample is capped at several times the average, so that a single slow transfer has little effect.
void recordPathDelay(PathDelays &delays, Locality locality, Duration elapsed, Duration timeAtOwner);

} // namespace agatedoor
