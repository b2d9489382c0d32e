#include "agatedoor/decide/near_paths.hpp"

#include <algorithm>
#include <optional>

namespace agatedoor {

namespace {

std::optional<Locality> nearestWithRoom(std::span<const Candidate> candidates, TimePoint now)
{
    std::optional<Locality> nearest;
    for (const auto &candidate : candidates) {
        if (hasRoom(candidate, now) && (!nearest || candidate.locality < *nearest)) {
            nearest = candidate.locality;
        }
    }
    return nearest;
}

} // namespace

bool hasRoom(const Candidate &candidate, TimePoint now)
{
    const bool usable = !candidate.draining && !candidate.excluded && !candidate.avoided && !candidate.ejected && !candidate.slow;
    const std::int64_t others = std::max<std::int64_t>(0, candidate.reportedInFlight - candidate.ownAtReport);
    const auto inUse = static_cast<double>(candidate.ownInFlight + others);
    return usable && now >= candidate.overloadedUntil && inUse + 1 <= static_cast<double>(candidate.slots.value) * candidate.weight;
}

int keepNear(std::span<Candidate> candidates, Bytes bytes, TimePoint now, const LocalityPenaltyOptions &options)
{
    const auto nearest = nearestWithRoom(candidates, now);
    if (!nearest) {
        return 0;
    }
    const LocalityPenalties penalties = localityPenaltiesOf(bytes, options);
    const auto tooFar = [&](const Candidate &candidate) {
        return candidate.locality > *nearest && penalties.at(static_cast<std::size_t>(candidate.locality)) >= options.maxPenalty;
    };
    const auto isUsable = [](const Candidate &candidate) { return !candidate.excluded; };
    if (std::none_of(candidates.begin(), candidates.end(), [&](const Candidate &candidate) { return isUsable(candidate) && tooFar(candidate); })) {
        return 0;
    }
    int excluded = 0;
    for (auto &candidate : candidates) {
        const bool fullBesideRoom = candidate.locality == *nearest && !hasRoom(candidate, now);
        if (isUsable(candidate) && (tooFar(candidate) || fullBesideRoom)) {
            candidate.excluded = true;
            ++excluded;
        }
    }
    return excluded;
}

} // namespace agatedoor
