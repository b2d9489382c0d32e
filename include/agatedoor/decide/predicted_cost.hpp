#pragma once

#include "agatedoor/decide/candidate.hpp"

#include <span>

/// @brief Cost of sending a request to a backend server: the predicted time until its answer.
namespace agatedoor {

/// @brief Parameters of the prediction.
struct CostOptions
{
    Duration loadHalfLife = std::chrono::milliseconds(100); ///< Age at which a reported request count has half its weight.
    Duration timeHalfLife = std::chrono::seconds(1); ///< Age at which a service time, observed time or failure rate has half its weight.
    Duration unknownServiceTime = std::chrono::milliseconds(2); ///< Assumed while no service time is known.
    double fullLoadServiceTimes = 1; ///< Number of service times added when all slots are in use; in proportion below that.
    double noiseFactor = 2; ///< Ratio to the usual time, up or down, within which a difference counts as random variation.
    double overloadedLoadPerSlot = 1.5; ///< Load per slot assumed while a refusal because of load is in effect.
    double failurePenalty = 10; ///< Factor added to the cost in proportion to the failure rate: at a rate of 1, this many times the cost is added.
};

/// @brief Averages over a service's backend servers, which replace the report of one backend server as it ages.
struct TypicalLoad
{
    Duration serviceTime{0}; ///< Harmonic mean, which a single slow backend server changes little.
    double othersPerSlot = 0; ///< Requests in flight from other nodes for each slot.
};

/// @brief Averages over the @p candidates that have reports.
TypicalLoad typicalLoad(std::span<const Candidate> candidates, const CostOptions &options);

/// @brief Predicted sum of queueing time, service time and path delay of @p candidate at @p now, increased for recent faults.
Duration predictedCost(const Candidate &candidate, const TypicalLoad &typical, const CostOptions &options, TimePoint now);

} // namespace agatedoor
