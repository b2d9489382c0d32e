#include "agatedoor/state/record_attempt.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

TimePoint readTime(const std::atomic<std::int64_t> &nanoseconds)
{
    return fromNanoseconds(nanoseconds.load(std::memory_order_relaxed));
}

std::chrono::nanoseconds readDuration(const std::atomic<std::int64_t> &nanoseconds)
{
    return std::chrono::nanoseconds(nanoseconds.load(std::memory_order_relaxed));
}

void recordLoad(BackendStats &stats, LoadReport report, int status, TimePoint now)
{
    if (!countsAsServiceTime(status)) {
        report.serviceTime = Duration::zero();
    }
    recordReport(stats, report, now);
}

void recordSignal(BackendStats &stats, AttemptSignal signal, const EndedAttempt &attempt, const EjectionOptions &options, TimePoint now)
{
    switch (signal) {
    case AttemptSignal::Success:
        recordSuccess(stats, std::max(Duration::zero(), attempt.end.elapsed - attempt.pathDelay), now);
        return;
    case AttemptSignal::Fault:
        recordFault(stats, options, now);
        return;
    case AttemptSignal::Overloaded:
        recordOverload(stats, now);
        return;
    case AttemptSignal::Slow:
        recordSlow(stats, now);
        return;
    case AttemptSignal::Unavailable:
        recordUnavailable(stats, attempt.incarnation, now);
        return;
    case AttemptSignal::Neutral:
        return;
    }
}

bool timedOut(Reason reason)
{
    return reason == Reason::OfferTimeout || reason == Reason::AnswerTimeout;
}

} // namespace

void recordAttempt(BackendStats &stats, const EndedAttempt &attempt, const EjectionOptions &options, TimePoint now)
{
    AttemptEnd end = attempt.end;
    end.expected = readDuration(stats.serviceTimeNs) + attempt.pathDelay;
    if (attempt.load) {
        recordLoad(stats, *attempt.load, end.status, now);
    }
    endAttempt(stats, now);
    recordSignal(stats, classifyAttempt(end), attempt, options, now);
    if (timedOut(end.reason)) {
        recordNoAnswer(stats, end.elapsed, now);
    }
}

Candidate candidateOf(const BackendStats &stats, const EjectionOptions &options, TimePoint now)
{
    constexpr double million = 1e6;
    Candidate candidate;
    candidate.ownInFlight = stats.ownInFlight.load(std::memory_order_relaxed);
    candidate.reportedInFlight = stats.reportedInFlight.load(std::memory_order_relaxed);
    candidate.ownAtReport = stats.ownAtReport.load(std::memory_order_relaxed);
    candidate.reportedAt = readTime(stats.reportedAtNs);
    candidate.serviceTime = readDuration(stats.serviceTimeNs);
    candidate.observedTime = readDuration(stats.observedTimeNs);
    candidate.observedAt = readTime(stats.observedAtNs);
    candidate.silentSince = readTime(stats.silentSinceNs);
    candidate.failureRate = static_cast<double>(stats.failuresPerMillion.load(std::memory_order_relaxed)) / million;
    candidate.failedAt = readTime(stats.failedAtNs);
    candidate.overloadedUntil = readTime(stats.overloadedUntilNs);
    candidate.slow = readTime(stats.slowUntilNs) > now;
    candidate.ejectedUntil = readTime(stats.ejectedUntilNs);
    candidate.ejected = candidate.ejectedUntil > now;
    candidate.weight = rampUpWeight(candidate.ejectedUntil, options, now);
    return candidate;
}

} // namespace agatedoor
