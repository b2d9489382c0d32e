#pragma once

#include "agatedoor/base/units.hpp"
#include "agatedoor/decide/candidate.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

/// @brief Outlier ejection: takes failing backend servers out of rotation for a bounded time, and at most a bounded share of them.
namespace agatedoor {

/// @brief Thresholds and limits of ejection.
struct EjectionOptions
{
    std::int64_t failuresInRow = 5; ///< Number of consecutive faults that triggers an ejection.
    double failureRate = 0.5; ///< Moving average of the share of faulty attempts that triggers an ejection.
    Duration firstDuration = std::chrono::seconds(1); ///< Duration of the first ejection; each further one lasts twice as long as the last.
    Duration maxDuration = std::chrono::seconds(30); ///< Upper bound of the doubling.
    Duration forgetAfter = std::chrono::seconds(60); ///< Time since the end of the last ejection after which earlier ones no longer count.
    Duration rampUpTime = std::chrono::seconds(2); ///< Time over which the weight grows back to 1 after an ejection.
    double minWeight = 0.1; ///< Weight right after an ejection.
    Percent maxEjected{50}; ///< Largest share of a service's backend servers that may be ejected at the same time.
};

/// @brief Ejection history of one backend server.
struct Ejection
{
    std::int64_t times = 0; ///< Number of ejections that still count for the next duration.
    TimePoint until; ///< End of the last ejection; the epoch when there was none.
};

/// @brief Recent faults of one backend server.
struct FaultStats
{
    std::int64_t consecutive = 0; ///< Consecutive faults.
    double rate = 0; ///< Moving average of the share of attempts that were faults.
};

/// @brief True when either threshold is reached.
bool shouldEject(const FaultStats &faults, const EjectionOptions &options);

/// @brief History after an ejection at @p now; unchanged while an ejection is in effect.
Ejection nextEjection(const Ejection &ejection, const EjectionOptions &options, TimePoint now);

/// @brief Routing weight after an ejection: grows linearly from the minimum to 1.
double rampUpWeight(TimePoint ejectedUntil, const EjectionOptions &options, TimePoint now);

/// @brief Reinstates candidates until at most the allowed share is ejected, those whose ejection ends first before the others.
/// When all candidates are ejected, all are reinstated.
void limitEjections(std::span<Candidate> candidates, const EjectionOptions &options);

} // namespace agatedoor
