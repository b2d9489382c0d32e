#include "agatedoor/decide/ejection.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

struct EjectionCount
{
    std::int64_t present = 0; ///< Candidates that aren't draining.
    std::int64_t ejected = 0;
};

EjectionCount countEjected(std::span<const Candidate> candidates)
{
    EjectionCount count;
    for (const auto &candidate : candidates) {
        if (candidate.draining) {
            continue;
        }
        ++count.present;
        count.ejected += candidate.ejected ? 1 : 0;
    }
    return count;
}

Candidate *earliestToReturn(std::span<Candidate> candidates)
{
    Candidate *first = nullptr;
    for (auto &candidate : candidates) {
        if (candidate.draining || !candidate.ejected) {
            continue;
        }
        if (first == nullptr || candidate.ejectedUntil < first->ejectedUntil) {
            first = &candidate;
        }
    }
    return first;
}

void reinstateAll(std::span<Candidate> candidates)
{
    for (auto &candidate : candidates) {
        candidate.ejected = false;
    }
}

Duration ejectionDuration(std::int64_t times, const EjectionOptions &options)
{
    Duration length = options.firstDuration;
    for (std::int64_t i = 1; i < times && length < options.maxDuration; ++i) {
        length *= 2;
    }
    return std::min(length, options.maxDuration);
}

} // namespace

bool shouldEject(const FaultStats &faults, const EjectionOptions &options)
{
    return faults.consecutive >= options.failuresInRow || faults.rate >= options.failureRate;
}

Ejection nextEjection(const Ejection &ejection, const EjectionOptions &options, TimePoint now)
{
    if (now < ejection.until) {
        return ejection;
    }
    const bool forgotten = now - ejection.until >= options.forgetAfter;
    const std::int64_t times = forgotten ? 1 : ejection.times + 1;
    return {times, now + ejectionDuration(times, options)};
}

double rampUpWeight(TimePoint ejectedUntil, const EjectionOptions &options, TimePoint now)
{
    if (ejectedUntil == TimePoint{} || options.rampUpTime <= Duration::zero()) {
        return 1.0;
    }
    const double share = std::chrono::duration<double>(now - ejectedUntil) / std::chrono::duration<double>(options.rampUpTime);
    return std::clamp(share, options.minWeight, 1.0);
}

void limitEjections(std::span<Candidate> candidates, const EjectionOptions &options)
{
    EjectionCount counted = countEjected(candidates);
    if (counted.ejected == 0) {
        return;
    }
    if (counted.ejected == counted.present) {
        reinstateAll(candidates);
        return;
    }
    const std::int64_t allowed = counted.present * options.maxEjected.value / 100;
    for (; counted.ejected > allowed; --counted.ejected) {
        earliestToReturn(candidates)->ejected = false;
    }
}

} // namespace agatedoor
