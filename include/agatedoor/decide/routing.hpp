#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/decide/candidate.hpp"
#include "agatedoor/decide/crossing.hpp"
#include "agatedoor/decide/predicted_cost.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

/// @brief Choice of a backend server for one request.
namespace agatedoor {

/// @brief Ways to choose. The baselines stay selectable so that they can be measured again.
enum class RoutingPolicy {
    RoundRobin, ///< Baseline: each in turn.
    LeastRequests, ///< Baseline: the lesser of two random ones by own in-flight requests.
    PredictedCost, ///< Near ones first; the lesser of two random ones by predicted wait, service time and path delay.
};

/// @brief Word for @p policy in bundles.
std::string_view wireName(RoutingPolicy policy);

/// @brief Policy with the word @p word, if there is one.
std::optional<RoutingPolicy> routingPolicyFromWire(std::string_view word);

/// @brief Tuning of a choice.
struct RoutingOptions
{
    RoutingPolicy policy = RoutingPolicy::PredictedCost;
    CostOptions cost;
    Crossing crossing{}; ///< Least gain for which the request leaves for each locality.
    bool nearOnly = false; ///< Leaves the region only when nothing in it is in order.
    bool mayCrossRegion = true; ///< The cross-region byte budget allows this request to leave the region for a gain.
};

/// @brief Index of the chosen candidate, or none when no candidate may take the request.
///
/// Ejected and avoided candidates are used only when no other one is left, draining and excluded ones never. PredictedCost
/// draws two candidates of each locality by weight; a farther one is taken only when its cost, path delay included, is lower by the
/// least gain for its locality.
/// @param turn counter that RoundRobin advances
std::optional<std::size_t> chooseBackend(std::span<const Candidate> candidates, const RoutingOptions &options, TimePoint now, Random &random,
                                         std::size_t &turn);

} // namespace agatedoor
