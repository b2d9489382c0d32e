#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/decide/candidate.hpp"
#include "agatedoor/decide/locality_penalties.hpp"
#include "agatedoor/decide/predicted_cost.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

/// @brief Chooses a backend server for one request.
namespace agatedoor {

/// @brief Load balancing algorithms. The baselines remain selectable so that PredictedCost can be compared with them.
enum class RoutingPolicy {
    RoundRobin, ///< Baseline: each candidate in turn.
    LeastRequests, ///< Baseline: of two random candidates, the one with fewer requests in flight from this node.
    PredictedCost, ///< Of two random candidates in each locality, the one with the lower predicted response time; near ones preferred.
};

/// @brief Name of @p policy in bundles.
std::string_view wireName(RoutingPolicy policy);

/// @brief Policy with the name @p word; none when there is no such policy.
std::optional<RoutingPolicy> routingPolicyFromWire(std::string_view word);

/// @brief Parameters of one choice.
struct RoutingOptions
{
    RoutingPolicy policy = RoutingPolicy::PredictedCost;
    CostOptions cost;
    LocalityPenalties localityPenalties{}; ///< Cost added to the candidates of each locality.
    bool nearOnly = false; ///< Leave the region only when every candidate in it is ejected, avoided or unusable.
    bool mayCrossRegion = true; ///< The cross-region byte budget allows this request to leave the region for a lower cost.
};

/// @brief Index of the chosen candidate, or none when no candidate may take the request.
///
/// Slow, ejected and avoided candidates are used, in this order, only when no better one is left; draining and excluded ones never.
/// PredictedCost draws two candidates of each locality at random by weight. A farther one is chosen only when its cost, including
/// path delay and the added cost of its locality, is lower.
/// @param turn counter that RoundRobin advances
std::optional<std::size_t> chooseBackend(std::span<const Candidate> candidates, const RoutingOptions &options, TimePoint now, Random &random,
                                         std::size_t &turn);

} // namespace agatedoor
