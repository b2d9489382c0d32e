#include "agatedoor/decide/routing.hpp"

#include "agatedoor/base/enum_names.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace agatedoor {

namespace {

constexpr std::array policyWords{
    std::pair{RoutingPolicy::RoundRobin, std::string_view{"round-robin"}},
    std::pair{RoutingPolicy::LeastRequests, std::string_view{"least-requests"}},
    std::pair{RoutingPolicy::PredictedCost, std::string_view{"predicted-cost"}},
};

constexpr double smallestWeight = 1e-6; ///< Gives every candidate a chance to be drawn, even at weight 0.

/// Preference tiers of candidates; a tier is used only when all earlier ones are empty.
enum class Tier {
    Good,
    Slow,
    Ejected,
    Avoided,
    Unusable,
};

Tier tierOf(const Candidate &candidate)
{
    if (candidate.draining || candidate.excluded) {
        return Tier::Unusable;
    }
    if (candidate.avoided) {
        return Tier::Avoided;
    }
    if (candidate.ejected) {
        return Tier::Ejected;
    }
    return candidate.slow ? Tier::Slow : Tier::Good;
}

/// The candidates of one tier, in one locality or in all of them.
struct Pool
{
    bool nearOnly = false;
    std::span<const Candidate> candidates;
    Tier tier = Tier::Good;
    std::optional<Locality> locality;

    bool contains(const Candidate &candidate) const
    {
        const bool near = !nearOnly || candidate.locality != Locality::OtherRegion;
        return near && tierOf(candidate) == tier && (!locality || candidate.locality == *locality);
    }
};

struct PoolSize
{
    std::size_t count = 0;
    double weight = 0;
};

double weightOf(const Candidate &candidate)
{
    return std::max(candidate.weight, smallestWeight);
}

PoolSize sizeOf(const Pool &pool)
{
    PoolSize size;
    for (const auto &candidate : pool.candidates) {
        if (pool.contains(candidate)) {
            ++size.count;
            size.weight += weightOf(candidate);
        }
    }
    return size;
}

/// Index of the member at @p position in the cumulative sum of weights, which leaves out the candidate @p skipped.
std::optional<std::size_t> memberAt(const Pool &pool, double position, std::optional<std::size_t> skipped)
{
    std::optional<std::size_t> last;
    for (std::size_t i = 0; i < pool.candidates.size(); ++i) {
        if (i == skipped || !pool.contains(pool.candidates[i])) {
            continue;
        }
        last = i;
        position -= weightOf(pool.candidates[i]);
        if (position < 0) {
            break;
        }
    }
    return last;
}

/// Index of the member number @p number, counted from 0; there must be that many.
std::size_t nthMember(const Pool &pool, std::size_t number)
{
    for (std::size_t i = 0;; ++i) {
        if (pool.contains(pool.candidates[i]) && number-- == 0) {
            return i;
        }
    }
}

/// Two different members, drawn at random by weight; no second one when the pool has only one member.
struct Draw
{
    std::size_t first = 0;
    std::optional<std::size_t> second;
};

std::optional<Draw> drawTwo(const Pool &pool, Random &random)
{
    const PoolSize size = sizeOf(pool);
    if (size.count == 0) {
        return std::nullopt;
    }
    Draw draw;
    draw.first = *memberAt(pool, uniformUnit(random) * size.weight, std::nullopt);
    if (size.count > 1) {
        const double rest = size.weight - weightOf(pool.candidates[draw.first]);
        draw.second = memberAt(pool, uniformUnit(random) * rest, draw.first);
    }
    return draw;
}

Tier bestTier(std::span<const Candidate> candidates, bool nearOnly)
{
    auto best = Tier::Unusable;
    for (const auto &candidate : candidates) {
        if (!nearOnly || candidate.locality != Locality::OtherRegion) {
            best = std::min(best, tierOf(candidate));
        }
    }
    return best;
}

/// Pool of the best tier that has candidates; none when all candidates are unusable.
std::optional<Pool> choosePool(std::span<const Candidate> candidates, bool nearOnly)
{
    const Tier near = bestTier(candidates, true);
    if (nearOnly && near <= Tier::Slow) {
        return Pool{true, candidates, near, std::nullopt};
    }
    const Tier best = bestTier(candidates, false);
    return best == Tier::Unusable ? std::nullopt : std::optional(Pool{false, candidates, best, std::nullopt});
}

std::size_t roundRobin(const Pool &pool, std::size_t &turn)
{
    return nthMember(pool, turn++ % sizeOf(pool).count);
}

std::size_t leastRequests(const Pool &pool, Random &random)
{
    const Draw draw = *drawTwo(pool, random);
    if (!draw.second) {
        return draw.first;
    }
    return pool.candidates[draw.first].ownInFlight <= pool.candidates[*draw.second].ownInFlight ? draw.first : *draw.second;
}

/// A candidate and its predicted cost.
struct CostedCandidate
{
    std::size_t index = 0;
    Duration cost{0};
};

/// The cheaper of two random members of the pool; none when it is empty.
std::optional<CostedCandidate> cheaperOfTwo(const Pool &pool, const TypicalLoad &typical, const CostOptions &options, TimePoint now, Random &random)
{
    const auto draw = drawTwo(pool, random);
    if (!draw) {
        return std::nullopt;
    }
    const CostedCandidate first{draw->first, predictedCost(pool.candidates[draw->first], typical, options, now)};
    if (!draw->second) {
        return first;
    }
    const CostedCandidate second{*draw->second, predictedCost(pool.candidates[*draw->second], typical, options, now)};
    return first.cost <= second.cost ? first : second;
}

/// Compares the localities, nearest first: a farther candidate wins only if its cost, including the added cost of its locality, is
/// lower. Another region is considered only within its byte budget, unless no nearer candidate is left.
std::size_t lowestCost(Pool pool, const RoutingOptions &options, TimePoint now, Random &random)
{
    const TypicalLoad typical = typicalLoad(pool.candidates, options.cost);
    std::optional<CostedCandidate> best;
    for (int i = 0; i < localityCount; ++i) {
        pool.locality = static_cast<Locality>(i);
        const bool overBudget = pool.locality == Locality::OtherRegion && !options.mayCrossRegion;
        if (best && overBudget) {
            break;
        }
        auto drawn = cheaperOfTwo(pool, typical, options.cost, now, random);
        if (drawn) {
            drawn->cost += options.localityPenalties.at(static_cast<std::size_t>(i));
        }
        if (drawn && (!best || drawn->cost < best->cost)) {
            best = drawn;
        }
    }
    return best->index;
}

} // namespace

std::string_view wireName(RoutingPolicy policy)
{
    return enumName(policyWords, policy);
}

std::optional<RoutingPolicy> routingPolicyFromWire(std::string_view word)
{
    return enumFromName<RoutingPolicy>(policyWords, word);
}

std::optional<std::size_t> chooseBackend(std::span<const Candidate> candidates, const RoutingOptions &options, TimePoint now, Random &random, std::size_t &turn)
{
    const auto pool = choosePool(candidates, options.nearOnly);
    if (!pool) {
        return std::nullopt;
    }
    switch (options.policy) {
    case RoutingPolicy::RoundRobin:
        return roundRobin(*pool, turn);
    case RoutingPolicy::LeastRequests:
        return leastRequests(*pool, random);
    case RoutingPolicy::PredictedCost:
        return lowestCost(*pool, options, now, random);
    }
    return std::nullopt;
}

} // namespace agatedoor
