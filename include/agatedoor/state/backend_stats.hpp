#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/time.hpp"
#include "agatedoor/decide/ejection.hpp"

#include <atomic>
#include <cstdint>

/// @brief Lock-free statistics of one backend server, shared by the request threads.
namespace agatedoor {

/// @brief Load that a backend server's owning node reports with each answer.
struct LoadReport
{
    std::int64_t inFlight = 0; ///< Requests that hold a slot or wait for one.
    std::int64_t slots = 0; ///< Current concurrency limit.
    Duration serviceTime{0}; ///< Moving average at the owning node; 0 when unknown.
    Duration timeAtOwner{0}; ///< Time that the answered request spent at the owning node; 0 when unknown.
    std::int64_t pacePercent = 0; ///< Current time that work takes, in percent of its usual time; 0 when unknown.
};

/// @brief Statistics that this node keeps on one backend server; the atomics are updated independently of each other.
/// Times are monotonic nanoseconds, 0 when the event has not happened.
struct BackendStats
{
    std::atomic<std::int64_t> ownInFlight{0}; ///< Attempts of this node that are in progress.
    std::atomic<std::int64_t> silentSinceNs{0}; ///< Last end of an attempt, or the start of the first one in progress if that is later.
    std::atomic<std::int64_t> reportedInFlight{0};
    std::atomic<std::int64_t> ownAtReport{0}; ///< Value of ownInFlight when the last report arrived.
    std::atomic<std::int64_t> reportedSlots{0};
    std::atomic<std::int64_t> reportedAtNs{0};
    std::atomic<std::int64_t> serviceTimeNs{0}; ///< Reported moving average; 0 when unknown.
    std::atomic<std::int64_t> observedTimeNs{0}; ///< Moving average of wait and service time seen here; 0 when unknown.
    std::atomic<std::int64_t> observedAtNs{0};
    std::atomic<std::int64_t> overloadedUntilNs{0}; ///< End of the overload period that a refusal for load starts.
    std::atomic<std::int64_t> slowUntilNs{0}; ///< Time until which its VM is treated as slow.
    std::atomic<std::int64_t> avoidedUntilNs{0}; ///< Time until which it is avoided because its owning node refused all work for it.
    std::atomic<std::uint64_t> avoidedIncarnation{0}; ///< Incarnation of the owning node that avoidedUntilNs applies to.
    std::atomic<std::int64_t> consecutiveFailures{0};
    std::atomic<std::int64_t> failuresPerMillion{0}; ///< Moving average of the share of attempts that were faults.
    std::atomic<std::int64_t> failedAtNs{0};
    std::atomic<std::int64_t> ejections{0}; ///< Recent ejections; more of them make the next one longer.
    std::atomic<std::int64_t> ejectedUntilNs{0};
    std::atomic<std::uint64_t> answers{0};
    std::atomic<std::uint64_t> failures{0};
    std::atomic<std::uint64_t> refusals{0}; ///< Refusals for load.
};

/// @brief Converts @p time to monotonic nanoseconds.
std::int64_t toNanoseconds(TimePoint time);

/// @brief Converts monotonic @p nanoseconds to a point in time.
TimePoint fromNanoseconds(std::int64_t nanoseconds);

/// @brief Counts an attempt that starts at @p now as in flight.
void beginAttempt(BackendStats &stats, TimePoint now);

/// @brief Removes an attempt that ends at @p now from those in flight.
void endAttempt(BackendStats &stats, TimePoint now);

/// @brief Stores a load report that arrived at @p now; a service time of 0 leaves the stored one unchanged.
void recordReport(BackendStats &stats, const LoadReport &report, TimePoint now);

/// @brief Counts an answer that took @p observed, excluding the path delay.
void recordSuccess(BackendStats &stats, Duration observed, TimePoint now);

/// @brief Counts a fault and ejects the backend server after several in a row or at a high failure rate.
void recordFault(BackendStats &stats, const EjectionOptions &options, TimePoint now);

/// @brief Records that no answer came within @p elapsed, which is a lower bound of the response time.
void recordNoAnswer(BackendStats &stats, Duration elapsed, TimePoint now);

/// @brief Counts a refusal for load and starts an overload period.
void recordOverload(BackendStats &stats, TimePoint now);

/// @brief Records that the backend server's VM is slow at @p now.
void recordSlow(BackendStats &stats, TimePoint now);

/// @brief Records that the owning node, in its @p incarnation, refuses all work for this backend server.
void recordUnavailable(BackendStats &stats, Incarnation incarnation, TimePoint now);

/// @brief True while a recordUnavailable() call for @p incarnation is in effect.
bool avoided(const BackendStats &stats, Incarnation incarnation, TimePoint now);

/// @brief Updates a moving average with @p sample and returns the new value, both in nanoseconds.
std::int64_t updateAverage(std::atomic<std::int64_t> &average, std::int64_t sample);

} // namespace agatedoor
