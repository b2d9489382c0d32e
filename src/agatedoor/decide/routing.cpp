#include "agatedoor/decide/routing.hpp"

#include "agatedoor/base/word_table.hpp"

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

constexpr double smallestWeight = 1e-6; ///< Keeps every candidate drawable.

/// Groups in the order in which they are used: a later one only when the earlier ones are empty.
enum class Standing {
    Good,
    Slow,
    Ejected,
    Avoided,
    Unusable,
};

Standing standingOf(const Candidate &candidate)
{
    if (candidate.draining || candidate.excluded) {
        return Standing::Unusable;
    }
    if (candidate.avoided) {
        return Standing::Avoided;
    }
    if (candidate.ejected) {
        return Standing::Ejected;
    }
    return candidate.slow ? Standing::Slow : Standing::Good;
}

/// Candidates of one standing, seen at one locality or at all of them.
struct Pool
{
    bool nearOnly = false;
    std::span<const Candidate> candidates;
    Standing standing = Standing::Good;
    std::optional<Locality> locality;

    bool contains(const Candidate &candidate) const
    {
        const bool near = !nearOnly || candidate.locality != Locality::OtherRegion;
        return near && standingOf(candidate) == standing && (!locality || candidate.locality == *locality);
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

/// Index of the member at @p position of the summed weights, past @p skipped.
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

std::size_t memberNumber(const Pool &pool, std::size_t number)
{
    for (std::size_t i = 0;; ++i) {
        if (pool.contains(pool.candidates[i]) && number-- == 0) {
            return i;
        }
    }
}

/// Two members drawn by weight; the second is missing when there is only one.
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

Standing bestStanding(std::span<const Candidate> candidates, bool nearOnly)
{
    auto best = Standing::Unusable;
    for (const auto &candidate : candidates) {
        if (!nearOnly || candidate.locality != Locality::OtherRegion) {
            best = std::min(best, standingOf(candidate));
        }
    }
    return best;
}

/// Candidates to choose from; none when all are unusable.
std::optional<Pool> choosePool(std::span<const Candidate> candidates, bool nearOnly)
{
    const Standing near = bestStanding(candidates, true);
    if (nearOnly && near <= Standing::Slow) {
        return Pool{true, candidates, near, std::nullopt};
    }
    const Standing best = bestStanding(candidates, false);
    return best == Standing::Unusable ? std::nullopt : std::optional(Pool{false, candidates, best, std::nullopt});
}

std::size_t nextInTurn(const Pool &pool, std::size_t &turn)
{
    return memberNumber(pool, turn++ % sizeOf(pool).count);
}

std::size_t leastRequests(const Pool &pool, Random &random)
{
    const Draw draw = *drawTwo(pool, random);
    if (!draw.second) {
        return draw.first;
    }
    return pool.candidates[draw.first].ownInFlight <= pool.candidates[*draw.second].ownInFlight ? draw.first : *draw.second;
}

struct Priced
{
    std::size_t index = 0;
    Duration cost{0};
};

/// The cheaper of two drawn from the pool.
std::optional<Priced> cheaperOfTwo(const Pool &pool, const TypicalLoad &typical, const CostOptions &options, TimePoint now, Random &random)
{
    const auto draw = drawTwo(pool, random);
    if (!draw) {
        return std::nullopt;
    }
    const Priced first{draw->first, predictedCost(pool.candidates[draw->first], typical, options, now)};
    if (!draw->second) {
        return first;
    }
    const Priced second{*draw->second, predictedCost(pool.candidates[*draw->second], typical, options, now)};
    return first.cost <= second.cost ? first : second;
}

/// Near localities first; a farther one wins only by a lower cost, the least gain for it included, and another region only within its budget.
std::size_t leastCost(Pool pool, const RoutingOptions &options, TimePoint now, Random &random)
{
    const TypicalLoad typical = typicalLoad(pool.candidates, options.cost);
    std::optional<Priced> best;
    for (int i = 0; i < localityCount; ++i) {
        pool.locality = static_cast<Locality>(i);
        const bool barred = pool.locality == Locality::OtherRegion && !options.mayCrossRegion;
        if (best && barred) {
            break;
        }
        auto drawn = cheaperOfTwo(pool, typical, options.cost, now, random);
        if (drawn) {
            drawn->cost += options.crossing.at(static_cast<std::size_t>(i));
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
    return wordOf(policyWords, policy);
}

std::optional<RoutingPolicy> routingPolicyFromWire(std::string_view word)
{
    return keyOf<RoutingPolicy>(policyWords, word);
}

std::optional<std::size_t> chooseBackend(std::span<const Candidate> candidates, const RoutingOptions &options, TimePoint now, Random &random, std::size_t &turn)
{
    const auto pool = choosePool(candidates, options.nearOnly);
    if (!pool) {
        return std::nullopt;
    }
    switch (options.policy) {
    case RoutingPolicy::RoundRobin:
        return nextInTurn(*pool, turn);
    case RoutingPolicy::LeastRequests:
        return leastRequests(*pool, random);
    case RoutingPolicy::PredictedCost:
        return leastCost(*pool, options, now, random);
    }
    return std::nullopt;
}

} // namespace agatedoor
