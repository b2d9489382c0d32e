#include "agatedoor/state/backend_stats.hpp"

#include <algorithm>
#include <cmath>

namespace agatedoor {

namespace {

constexpr std::int64_t averageShift = 3; ///< A new sample has a weight of one eighth.
constexpr std::int64_t oneMillion = 1'000'000;
constexpr std::chrono::milliseconds shortestOverload{20};
constexpr std::chrono::milliseconds longestOverload{250};
constexpr std::chrono::seconds unavailableTime{2};
constexpr std::chrono::milliseconds slowTime{60}; ///< Expected rest of a slow phase once it has been noticed.
constexpr std::int64_t slowPercent = 200; ///< A VM is slow when work takes more than this share of its usual time.

std::int64_t updateFailureRate(BackendStats &stats, std::int64_t sample)
{
    std::int64_t seen = stats.failuresPerMillion.load(std::memory_order_relaxed);
    std::int64_t next = 0;
    do {
        next = seen + (sample - seen) / (1 << averageShift);
    } while (!stats.failuresPerMillion.compare_exchange_weak(seen, next, std::memory_order_relaxed));
    return next;
}

/// Ejects the backend server unless it is already ejected or another thread did so first. Halves the failure rate, so
/// that a backend server that still fails after its return is ejected again sooner.
void eject(BackendStats &stats, const EjectionOptions &options, TimePoint now)
{
    std::int64_t until = stats.ejectedUntilNs.load(std::memory_order_relaxed);
    const Ejection before{stats.ejections.load(std::memory_order_relaxed), fromNanoseconds(until)};
    const Ejection after = nextEjection(before, options, now);
    if (after.until == before.until) {
        return;
    }
    if (stats.ejectedUntilNs.compare_exchange_strong(until, toNanoseconds(after.until), std::memory_order_relaxed)) {
        stats.ejections.store(after.times, std::memory_order_relaxed);
        stats.consecutiveFailures.store(0, std::memory_order_relaxed);
        stats.failuresPerMillion.store(stats.failuresPerMillion.load(std::memory_order_relaxed) / 2, std::memory_order_relaxed);
    }
}

/// Weight of a new sample: one eighth in a steady stream, more the longer ago the last sample was.
double sampleWeight(TimePoint last, TimePoint now)
{
    constexpr double minWeight = 0.125;
    constexpr std::chrono::duration<double> halfLife(0.5);
    return std::max(minWeight, 1 - std::exp2(-(now - last) / halfLife));
}

void updateObservedTime(BackendStats &stats, std::int64_t sample, TimePoint now)
{
    const TimePoint last = fromNanoseconds(stats.observedAtNs.exchange(toNanoseconds(now), std::memory_order_relaxed));
    const double weight = sampleWeight(last, now);
    std::int64_t seen = stats.observedTimeNs.load(std::memory_order_relaxed);
    std::int64_t next = 0;
    do {
        next = seen == 0 ? sample : seen + static_cast<std::int64_t>(weight * static_cast<double>(sample - seen));
    } while (!stats.observedTimeNs.compare_exchange_weak(seen, next, std::memory_order_relaxed));
}

} // namespace

std::int64_t toNanoseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

TimePoint fromNanoseconds(std::int64_t nanoseconds)
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(nanoseconds)));
}

std::int64_t updateAverage(std::atomic<std::int64_t> &average, std::int64_t sample)
{
    std::int64_t seen = average.load(std::memory_order_relaxed);
    std::int64_t next = 0;
    do {
        next = seen == 0 ? sample : seen + ((sample - seen) >> averageShift);
    } while (!average.compare_exchange_weak(seen, next, std::memory_order_relaxed));
    return next;
}

void beginAttempt(BackendStats &stats, TimePoint now)
{
    if (stats.ownInFlight.fetch_add(1, std::memory_order_relaxed) == 0) {
        stats.silentSinceNs.store(toNanoseconds(now), std::memory_order_relaxed);
    }
}

void endAttempt(BackendStats &stats, TimePoint now)
{
    stats.ownInFlight.fetch_sub(1, std::memory_order_relaxed);
    stats.silentSinceNs.store(toNanoseconds(now), std::memory_order_relaxed);
}

void recordReport(BackendStats &stats, const LoadReport &report, TimePoint now)
{
    stats.reportedInFlight.store(report.inFlight, std::memory_order_relaxed);
    stats.ownAtReport.store(stats.ownInFlight.load(std::memory_order_relaxed), std::memory_order_relaxed);
    stats.reportedSlots.store(report.slots, std::memory_order_relaxed);
    if (report.serviceTime > Duration::zero()) {
        stats.serviceTimeNs.store(std::chrono::nanoseconds(report.serviceTime).count(), std::memory_order_relaxed);
    }
    stats.reportedAtNs.store(toNanoseconds(now), std::memory_order_relaxed);
    if (report.pacePercent > slowPercent) {
        recordSlow(stats, now);
    } else if (report.pacePercent > 0) {
        stats.slowUntilNs.store(0, std::memory_order_relaxed);
    }
}

void recordSlow(BackendStats &stats, TimePoint now)
{
    stats.slowUntilNs.store(toNanoseconds(now + slowTime), std::memory_order_relaxed);
}

void recordSuccess(BackendStats &stats, Duration observed, TimePoint now)
{
    stats.answers.fetch_add(1, std::memory_order_relaxed);
    stats.consecutiveFailures.store(0, std::memory_order_relaxed);
    updateFailureRate(stats, 0);
    updateObservedTime(stats, std::max<std::int64_t>(1, std::chrono::nanoseconds(observed).count()), now);
}

void recordFault(BackendStats &stats, const EjectionOptions &options, TimePoint now)
{
    stats.failures.fetch_add(1, std::memory_order_relaxed);
    stats.failedAtNs.store(toNanoseconds(now), std::memory_order_relaxed);
    FaultStats faults;
    faults.consecutive = stats.consecutiveFailures.fetch_add(1, std::memory_order_relaxed) + 1;
    faults.rate = static_cast<double>(updateFailureRate(stats, oneMillion)) / oneMillion;
    if (shouldEject(faults, options)) {
        eject(stats, options, now);
    }
}

void recordNoAnswer(BackendStats &stats, Duration elapsed, TimePoint now)
{
    const std::int64_t sample = std::chrono::nanoseconds(elapsed).count();
    if (sample > stats.observedTimeNs.load(std::memory_order_relaxed)) {
        updateObservedTime(stats, sample, now);
    }
}

void recordOverload(BackendStats &stats, TimePoint now)
{
    stats.refusals.fetch_add(1, std::memory_order_relaxed);
    const std::chrono::nanoseconds serviceTime(stats.serviceTimeNs.load(std::memory_order_relaxed));
    const Duration length = std::clamp<Duration>(serviceTime, shortestOverload, longestOverload);
    stats.overloadedUntilNs.store(toNanoseconds(now + length), std::memory_order_relaxed);
}

void recordUnavailable(BackendStats &stats, Incarnation incarnation, TimePoint now)
{
    stats.avoidedIncarnation.store(incarnation.value, std::memory_order_relaxed);
    stats.avoidedUntilNs.store(toNanoseconds(now + unavailableTime), std::memory_order_relaxed);
}

bool avoided(const BackendStats &stats, Incarnation incarnation, TimePoint now)
{
    const bool sameIncarnation = stats.avoidedIncarnation.load(std::memory_order_relaxed) == incarnation.value;
    return sameIncarnation && fromNanoseconds(stats.avoidedUntilNs.load(std::memory_order_relaxed)) > now;
}

} // namespace agatedoor
