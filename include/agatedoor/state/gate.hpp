#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/decide/adaptive_limit.hpp"
#include "agatedoor/decide/admission.hpp"
#include "agatedoor/decide/cold_limit.hpp"
#include "agatedoor/decide/knee.hpp"
#include "agatedoor/decide/pace.hpp"
#include "agatedoor/decide/priority_queue.hpp"
#include "agatedoor/decide/request_limit.hpp"
#include "agatedoor/decide/service_times.hpp"
#include "agatedoor/decide/token_bucket.hpp"
#include "agatedoor/state/backend_stats.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

/// @brief Admission control of one backend server at its owning node.
///
/// While the queue is empty, slots are acquired and released by atomics alone. A request that finds no free slot joins a
/// queue under a mutex that request threads hold only briefly and controllers never take. To avoid a lost wake-up, a
/// joining thread publishes the queue length before it checks the slots again, and a releasing thread frees its slot
/// before it reads the queue length: at least one of the two sees the other's change.
namespace agatedoor {

/// @brief Number of refusal counters, indexed by Reason; greater than the number of reasons.
inline constexpr std::size_t refusalCounters = 64;

/// @brief State of a queued request.
enum class TicketState {
    Waiting,
    Granted, ///< The request holds a slot.
    Refused, ///< The request did not run and holds no slot.
};

/// @brief One queued request; guarded by the gate's mutex.
struct Ticket
{
    Waiter waiter;
    TicketState state = TicketState::Waiting;
    Reason reason = Reason::None; ///< Reason of a refusal.
    TimePoint queuedAt;
    std::function<void()> wake; ///< Called on any thread, without the mutex, when the wait ends.
};

/// @brief Queue and limit estimators of one gate; guarded by the mutex.
struct GateQueue
{
    std::mutex mutex;
    PriorityQueue order;
    std::map<WaiterId, std::shared_ptr<Ticket>> tickets;
    std::uint64_t lastId = 0;
    ServiceTimes times;
    double adaptiveLimit = 0; ///< As AdaptiveLimit::limit; each route has a baseline of its own in @ref times.
    Knee knee;
    TokenBucket paceProbeBudget{1, TimePoint{}}; ///< Limits the probes that read the VM's pace.
    ColdLimit cold;
    RequestLimit requestLimit; ///< Rate that the backend server names for its requests.
};

/// @brief Random identifier for the end of one backend server process.
BackendEndId randomEndId();

/// @brief Slots, queue, connections and counters of one backend server; shared by all request threads.
struct Gate
{
    explicit Gate(Slots slots, Connections connectionLimit = {0})
        : announced(slots.value)
        , limit(slots.value)
        , announcedConnections(connectionLimit.value)
        , processEnd(randomEndId().value)
    {
    }

    std::atomic<std::int64_t> announced; ///< Slots that the backend server announced.
    std::atomic<std::int64_t> limit; ///< Current concurrency limit, at most the announced slots.
    std::atomic<std::int64_t> running{0}; ///< Requests that hold a slot.
    std::atomic<std::int64_t> queued{0}; ///< Requests that wait for a slot.
    std::atomic<std::int64_t> serviceTimeNs{0}; ///< Moving average of the service time; 0 when unknown.
    std::atomic<bool> draining{false}; ///< No new requests are admitted.
    std::atomic<bool> saidItLeaves{false}; ///< An answer of the backend server said so; it stays draining whatever it announces.
    std::atomic<bool> limitHeard{false}; ///< As RequestLimit::heard.
    std::atomic<double> requestLimit{0}; ///< As RequestLimit::rate.
    std::atomic<TimePoint> coldUntil{TimePoint{}}; ///< As ColdLimit::coldUntil.
    std::atomic<TimePoint> healthAskedAt{TimePoint{}}; ///< Last reading at the health path, which tells whether it is cold.
    std::atomic<std::uint64_t> admitted{0};
    std::atomic<std::uint64_t> refused{0};
    std::array<std::atomic<std::uint64_t>, refusalCounters> refusals{}; ///< Refusals by Reason.
    std::atomic<std::uint64_t> waits{0}; ///< Requests that waited for a slot.
    std::atomic<std::int64_t> waitNs{0}; ///< Total time that granted requests waited.
    std::atomic<std::int64_t> longestWaitNs{0};
    std::atomic<std::int64_t> pacePercent{0}; ///< Time that work takes, in percent of its usual time; 0 when it was never reported.
    std::atomic<std::int64_t> paceAtNs{0}; ///< Time of the last report of the pace.
    std::atomic<std::int64_t> announcedConnections; ///< Maximum number of open connections.
    std::atomic<std::int64_t> openConnections{0}; ///< Connections of all request threads, including idle ones.
    std::atomic<std::int64_t> idleConnections{0};
    std::atomic<std::int64_t> connectFailures{0}; ///< Consecutive failed connects.
    std::atomic<bool> down{false}; ///< Set after several consecutive failed connects.
    std::atomic<std::uint64_t> processEnd; ///< BackendEndId of the present process's end, if that ends unexpectedly.
    std::atomic<bool> ended{false}; ///< That end was seen, and no connection has been opened since.
    GateQueue queue;
};

/// @brief Current load of @p gate.
BackendLoad loadOf(const Gate &gate);

/// @brief Current load of @p gate as reported with answers.
LoadReport reportOf(const Gate &gate);

/// @brief Acquires a slot if one is free and the backend server isn't draining; never waits.
bool tryAcquireSlot(Gate &gate);

/// @brief Acquires a slot, queues @p ticket for one, or refuses. On AdmissionVerdict::Wait, finishWait() must be called.
AdmissionDecision acquireSlot(Gate &gate, const AdmissionRequest &request, const AdmissionOptions &options, const std::shared_ptr<Ticket> &ticket,
                              TimePoint now);

/// @brief Ends a wait; a ticket that is still queued is removed and refused with @p reason.
/// @return Granted when the ticket holds a slot, which must be released
TicketState finishWait(Gate &gate, Ticket &ticket, Reason reason);

/// @brief Releases a slot and grants it to the next queued request.
void releaseSlot(Gate &gate, TimePoint now);

/// @brief One answered request.
struct ServedRequest
{
    RouteKey route;
    Duration serviceTime{0};
    std::int64_t runningAtStart = 0; ///< Requests that ran when this one started, including itself.
};

/// @brief Records the service time of an answer and adapts the concurrency limit.
void recordServiceTime(Gate &gate, const ServedRequest &served, TimePoint now);

/// @brief Expected service time of a request of @p route: the route's average, or that of all requests while it has none.
Duration serviceTimeOf(Gate &gate, RouteKey route);

/// @brief Records the pace that the backend server reported at @p now: the time work takes, in percent of its usual time.
void recordPace(Gate &gate, std::int64_t percent, TimePoint now);

/// @brief Last reported pace.
Pace paceOf(const Gate &gate);

/// @brief True when the probe budget allows another probe of the pace.
bool paceProbeAvailable(Gate &gate, TimePoint now);

/// @brief Takes one probe from the budget.
void takePaceProbe(Gate &gate, TimePoint now);

/// @brief Counts a refusal, in total and by @p reason.
void countRefusal(Gate &gate, Reason reason);

/// @brief Records the result of a connect; several consecutive failures mark the backend server as down.
void recordConnect(Gate &gate, bool connected);

/// @brief Records that the backend server process has ended. Whoever notices it before the next process is there gets the same identifier.
BackendEndId recordEnd(Gate &gate);

} // namespace agatedoor
