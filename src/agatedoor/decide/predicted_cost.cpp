#include "agatedoor/decide/predicted_cost.hpp"

#include <algorithm>
#include <cmath>

namespace agatedoor {

namespace {

using Seconds = std::chrono::duration<double>;

/// Exponentially decaying weight of a value recorded at @p seenAt: 1 at first, halved after each half-life; 0 if never recorded.
double freshness(TimePoint seenAt, Duration halfLife, TimePoint now)
{
    if (seenAt == TimePoint{}) {
        return 0;
    }
    return std::exp2(-std::max(0.0, Seconds(now - seenAt) / Seconds(halfLife)));
}

/// Requests of other nodes, as last reported.
double inFlightOfOthers(const Candidate &candidate)
{
    return static_cast<double>(std::max<std::int64_t>(0, candidate.reportedInFlight - candidate.ownAtReport));
}

/// Slots scaled by the weight, so that a backend server in slow start counts as full earlier.
double usableSlots(const Candidate &candidate)
{
    return std::max(1.0, static_cast<double>(candidate.slots.value) * candidate.weight);
}

double expectedLoad(const Candidate &candidate, const TypicalLoad &typical, const CostOptions &options, TimePoint now)
{
    const double fresh = freshness(candidate.reportedAt, options.loadHalfLife, now);
    const double slots = usableSlots(candidate);
    const double others = fresh * inFlightOfOthers(candidate) + (1 - fresh) * typical.othersPerSlot * slots;
    const double load = static_cast<double>(candidate.ownInFlight) + others;
    return now < candidate.overloadedUntil ? std::max(load, options.overloadedLoadPerSlot * slots) : load;
}

/// The observed time includes queueing. If it is below the reported service time, the report must be out of date.
Seconds expectedServiceTime(const Candidate &candidate, const TypicalLoad &typical, const CostOptions &options, TimePoint now)
{
    const Seconds usual(typical.serviceTime > Duration::zero() ? typical.serviceTime : options.unknownServiceTime);
    if (candidate.serviceTime <= Duration::zero()) {
        return usual;
    }
    const bool outdated = candidate.observedTime > Duration::zero() && candidate.observedTime < candidate.serviceTime;
    const Seconds known(outdated ? candidate.observedTime : candidate.serviceTime);
    const double ratio = known / usual;
    if (ratio > 1 / options.noiseFactor && ratio < options.noiseFactor) {
        return usual;
    }
    const double fresh = freshness(candidate.reportedAt, options.timeHalfLife, now);
    return fresh * known + (1 - fresh) * usual;
}

/// Expected queueing time in multiples of the service time.
double waitInServiceTimes(double load, double slots, const CostOptions &options)
{
    const double queued = std::max(0.0, (load + 1 - slots) / slots);
    return queued + options.fullLoadServiceTimes * std::min(1.0, load / slots);
}

/// Time for which requests in progress have had no answer; 0 when there are none.
Seconds timeWithoutAnswer(const Candidate &candidate, TimePoint now)
{
    if (candidate.ownInFlight <= 0 || candidate.silentSince == TimePoint{}) {
        return Seconds(0);
    }
    return Seconds(now - candidate.silentSince);
}

} // namespace

TypicalLoad typicalLoad(std::span<const Candidate> candidates, const CostOptions &options)
{
    double others = 0;
    double slots = 0;
    double ratePerSecond = 0;
    std::int64_t known = 0;
    for (const auto &candidate : candidates) {
        if (candidate.reportedAt == TimePoint{} || candidate.serviceTime <= Duration::zero()) {
            continue;
        }
        others += inFlightOfOthers(candidate);
        slots += static_cast<double>(candidate.slots.value);
        ratePerSecond += 1 / Seconds(candidate.serviceTime).count();
        ++known;
    }
    if (known == 0) {
        return {options.unknownServiceTime, 0};
    }
    const Seconds serviceTime(static_cast<double>(known) / ratePerSecond);
    return {std::chrono::duration_cast<Duration>(serviceTime), slots > 0 ? others / slots : 0};
}

Duration predictedCost(const Candidate &candidate, const TypicalLoad &typical, const CostOptions &options, TimePoint now)
{
    const double load = expectedLoad(candidate, typical, options, now);
    const Seconds service = expectedServiceTime(candidate, typical, options, now);
    const Seconds modelled = service * (1 + waitInServiceTimes(load, usableSlots(candidate), options));
    const Seconds observed = freshness(candidate.observedAt, options.timeHalfLife, now) * Seconds(candidate.observedTime);
    const Seconds seen = std::max(observed, timeWithoutAnswer(candidate, now)) / options.noiseFactor;
    const Seconds work = std::max(modelled, seen);
    const double faults = freshness(candidate.failedAt, options.timeHalfLife, now) * candidate.failureRate;
    const Seconds cost = (Seconds(candidate.pathDelay) + work) * (1 + options.failurePenalty * faults);
    return std::chrono::duration_cast<Duration>(cost);
}

} // namespace agatedoor
