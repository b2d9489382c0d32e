#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/outcome.hpp"
#include "agatedoor/base/priority.hpp"
#include "agatedoor/base/time.hpp"
#include "agatedoor/base/units.hpp"

#include <cstdint>

/// @brief Admission control at the owning node, the only node that knows how many requests its backend server is running.
namespace agatedoor {

/// @brief Load of one backend server, as counted by its owning node.
struct BackendLoad
{
    Slots limit; ///< Largest number of requests that may run at once.
    std::int64_t running = 0; ///< Requests that hold a slot.
    std::int64_t queued = 0; ///< Requests that wait for a slot.
    Duration serviceTime{0}; ///< Moving average of the service time; 0 when unknown.
    bool draining = false; ///< The backend server accepts no new requests.
};

/// @brief A request that asks for a slot.
struct AdmissionRequest
{
    PriorityClass priority = PriorityClass::Normal;
    Deadline deadline;
    std::int64_t ahead = 0; ///< Queued requests that get a slot before this one.
    RouteKey route = {}; ///< Requests of one route are expected to take a similar time.
    bool mayWait = true; ///< The request may wait for a slot; else it runs at once or is refused.
    Duration serviceTime{0}; ///< Expected service time of this request; 0 when unknown, then the average over all requests is used.
    bool byCustomer = false; ///< Callers need keys, so the queue is ordered by customer and deadline.
    CustomerName customer = {}; ///< Empty when the request names none.
    bool nested = false; ///< A call of a request that already runs.
};

/// @brief Result of admission for one request.
enum class AdmissionVerdict {
    Run, ///< Starts now and takes a slot.
    Wait, ///< Joins the queue for a slot.
    Refuse, ///< Rejected; the sender learns that it did not run.
};

/// @brief Verdict and, for a refusal, its reason.
struct AdmissionDecision
{
    AdmissionVerdict verdict = AdmissionVerdict::Refuse;
    Reason reason = Reason::None;
};

/// @brief Limits of the queue.
struct AdmissionOptions
{
    std::int64_t queuePerSlot = 2; ///< Queue capacity for each announced slot, where the service time doesn't allow more.
    Duration longestWait
        = std::chrono::milliseconds(100); ///< Longest wait for a slot; shorter than the time after which the sending node gives up on its offer.
};

/// @brief Time at which a request stops waiting for a slot: its own deadline or the longest wait, whichever is earlier.
Deadline waitDeadline(const AdmissionRequest &request, const AdmissionOptions &options, TimePoint now);

/// @brief Number of waiters at which a new request of class @p priority has to displace another, or is refused.
/// Answers the pattern of a burst of high-priority requests at a short queue: those may wait while the backend server, at its
/// average service time, serves all of them within the longest wait. Lower classes keep the short queue of @p announced slots,
/// since they find room elsewhere sooner than behind the higher ones.
std::int64_t queueCapacity(const BackendLoad &load, Slots announced, PriorityClass priority, const AdmissionOptions &options);

/// @brief Decides at @p now whether a request runs, waits or is refused.
/// When a slot is free, the request runs without comparing the service time with its deadline: the average may be out of date.
AdmissionDecision decideAdmission(const BackendLoad &load, const AdmissionRequest &request, const AdmissionOptions &options, TimePoint now);

} // namespace agatedoor
