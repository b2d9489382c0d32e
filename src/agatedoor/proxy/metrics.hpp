#pragma once

#include "agatedoor/base/outcome.hpp"
#include "agatedoor/base/time.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <string>

/// @brief Request metrics of one request thread.
namespace agatedoor {

namespace tag = boost::accumulators::tag;

/// @brief Quantiles that each distribution estimates.
inline constexpr std::array quantileLevels{0.5, 0.99, 0.999};

/// @brief Distribution of a time in seconds.
using TimeDistribution = boost::accumulators::accumulator_set<double, boost::accumulators::stats<tag::count, tag::sum, tag::max, tag::extended_p_square>>;

/// @brief Creates an empty distribution.
TimeDistribution makeTimeDistribution();

/// @brief Counters and distributions. Not thread-safe: only the owning thread uses them.
struct Metrics
{
    TimeDistribution requestTime = makeTimeDistribution(); ///< From arrival to response, of callers' requests.
    TimeDistribution backendTime = makeTimeDistribution(); ///< From dispatch to the backend server's response, at the owning node.
    std::array<std::uint64_t, 4> outcomes{}; ///< Callers' requests by RunOutcome.
    std::uint64_t attempts = 0; ///< All attempts, including first ones.
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0; ///< Second attempts started because the first was later than the tail latency.
    std::uint64_t extraAttempts = 0; ///< Attempts against slow answers.
    std::uint64_t extraAttemptsWon = 0; ///< Of these, the ones that were answered first.
    std::uint64_t extraAttemptsRefused = 0; ///< Of these, the ones that found no free slot.
    std::uint64_t extraAttemptsWithheld = 0; ///< Ones that were due and not made: for want of a token or of room, or of another backend server.
    std::uint64_t quotaWaits = 0; ///< Requests that waited for a token of their customer's quota.
    std::uint64_t quotaRefusals = 0; ///< Requests that were refused because of it.
    std::uint64_t hedgesWon = 0; ///< Hedges that were answered before the first attempt.
    std::uint64_t retriesOverBudget = 0; ///< Retries and hedges not made because the retry budget was spent.
    std::uint64_t arrivedRepeats = 0; ///< Requests that are already marked as a retry or hedge when they arrive.
    std::uint64_t silentConnections = 0; ///< Reused connections to other nodes that turned out to be dead.
    std::uint64_t pipelinedRequests = 0; ///< Callers' requests read while an earlier one on their connection was in progress.
    std::uint64_t peerRequests = 0; ///< Requests received from other nodes.
    std::uint64_t measuringBytes = 0; ///< Bytes of load reports sent to other nodes.
    std::uint64_t reportsWithheld = 0; ///< Load reports not sent because the measuring budget was spent.
    std::uint64_t crossRegionBytes = 0; ///< Bytes of requests to other regions and of their responses.
    std::uint64_t crossRegionAttempts = 0;
    std::uint64_t keptNear = 0; ///< Choices from which backend servers were left out, since a nearer one had room for a large response.
};

/// @brief Formats the metrics in the Prometheus text format; @p worker becomes a label.
std::string prometheusText(const Metrics &metrics, int worker);

} // namespace agatedoor
