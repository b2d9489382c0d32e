#include "agatedoor/state/gate.hpp"

#include "agatedoor/base/random.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace agatedoor {

namespace {

constexpr std::int64_t connectFailuresUntilDown = 3;
constexpr TokenBucketOptions paceProbeLimits{45, 15}; ///< A backend server handles about sixty probes a second.

/// Tickets whose wait ended; they are woken after the mutex is released.
using EndedTickets = std::vector<std::shared_ptr<Ticket>>;

void wakeAll(const EndedTickets &ended)
{
    for (const auto &ticket : ended) {
        ticket->wake();
    }
}

void publishQueued(Gate &gate)
{
    gate.queued.store(waiterCount(gate.queue.order));
}

void recordWait(Gate &gate, const Ticket &ticket, TimePoint now)
{
    const std::int64_t waited = std::chrono::nanoseconds(now - ticket.queuedAt).count();
    gate.waitNs.fetch_add(waited, std::memory_order_relaxed);
    std::int64_t longest = gate.longestWaitNs.load(std::memory_order_relaxed);
    while (waited > longest && !gate.longestWaitNs.compare_exchange_weak(longest, waited, std::memory_order_relaxed)) {}
}

/// Ends the wait of @p waiter, which the priority queue no longer holds.
void endWait(Gate &gate, const Waiter &waiter, TicketState state, Reason reason, EndedTickets &ended)
{
    const auto found = gate.queue.tickets.find(waiter.id);
    found->second->state = state;
    found->second->reason = reason;
    ended.push_back(std::move(found->second));
    gate.queue.tickets.erase(found);
}

void refuseAll(Gate &gate, Reason reason, EndedTickets &ended)
{
    while (const auto waiter = grantNext(gate.queue.order)) {
        endWait(gate, *waiter, TicketState::Refused, reason, ended);
    }
}

void refuseExpired(Gate &gate, TimePoint now, EndedTickets &ended)
{
    for (const auto &waiter : removeExpired(gate.queue.order, now)) {
        endWait(gate, waiter, TicketState::Refused, gate.queue.tickets.at(waiter.id)->lateReason, ended);
    }
}

/// Grants free slots to queued requests. The queue length must be published first, so that no released slot is missed.
void grantWaiting(Gate &gate, TimePoint now, EndedTickets &ended)
{
    refuseExpired(gate, now, ended);
    if (gate.draining.load()) {
        refuseAll(gate, Reason::BackendDraining, ended);
    }
    while (waiterCount(gate.queue.order) > 0 && tryAcquireSlot(gate)) {
        const auto waiter = grantNext(gate.queue.order);
        recordWait(gate, *gate.queue.tickets.at(waiter->id), now);
        recordGranted(gate.queue.served, waiter->customer);
        gate.nestedGrants.fetch_add(waiter->nested ? 1 : 0, std::memory_order_relaxed);
        endWait(gate, *waiter, TicketState::Granted, Reason::None, ended);
    }
    publishQueued(gate);
}

void serveQueue(Gate &gate, TimePoint now)
{
    EndedTickets ended;
    {
        const std::lock_guard lock(gate.queue.mutex);
        grantWaiting(gate, now, ended);
    }
    wakeAll(ended);
}

AdmissionDecision refusal(Gate &gate, Reason reason)
{
    countRefusal(gate, reason);
    return {AdmissionVerdict::Refuse, reason};
}

/// The next waiter. Where customers are told apart, it only waits as long as its deadline can still be met.
Waiter makeWaiter(Gate &gate, const AdmissionRequest &request, const AdmissionOptions &options, TimePoint now)
{
    Waiter waiter{{++gate.queue.lastId}, request.priority, waitDeadline(request, options, now)};
    if (!request.byCustomer) {
        return waiter;
    }
    const Duration expected = request.serviceTime > Duration::zero() ? request.serviceTime : loadOf(gate).serviceTime;
    waiter.work = std::max(waiter.work, expected);
    waiter.customer = request.customer;
    waiter.nested = request.nested;
    waiter.deadline = request.deadline;
    waiter.latest = earlier(waiter.latest, {request.deadline.at - expected});
    return waiter;
}

/// Class of a request in the queue: its own, or the highest while its customer is served too little.
PriorityClass classInQueue(Gate &gate, const AdmissionRequest &request)
{
    if (!request.byCustomer || !request.mayWait) {
        return request.priority;
    }
    recordAsked(gate.queue.served, request.customer);
    if (!servedTooLittle(gate.queue.served, request.customer)) {
        return request.priority;
    }
    gate.raised.fetch_add(1, std::memory_order_relaxed);
    return PriorityClass::High;
}

/// Adds @p ticket to the queue; false when the queue is full.
bool joinQueue(Gate &gate, const AdmissionRequest &request, const AdmissionOptions &options, const std::shared_ptr<Ticket> &ticket, TimePoint now,
               EndedTickets &ended)
{
    ticket->lateReason = ticket->waiter.latest < waitDeadline(request, options, now) ? Reason::DeadlineTooShort : Reason::None;
    ticket->queuedAt = now;
    const Slots announced{gate.announced.load(std::memory_order_relaxed)};
    const JoinResult effect = join(gate.queue.order, ticket->waiter, queueCapacity(loadOf(gate), announced, request.priority, options));
    if (!effect.joined) {
        return false;
    }
    gate.queue.tickets.emplace(ticket->waiter.id, ticket);
    if (effect.displaced) {
        gate.displaced.fetch_add(1, std::memory_order_relaxed);
        endWait(gate, *effect.displaced, TicketState::Refused, Reason::QueueFull, ended);
    }
    publishQueued(gate);
    return true;
}

/// The part of acquireSlot() that holds the mutex.
AdmissionDecision enterQueue(Gate &gate, AdmissionRequest request, const AdmissionOptions &options, const std::shared_ptr<Ticket> &ticket, TimePoint now,
                             EndedTickets &ended)
{
    const std::lock_guard lock(gate.queue.mutex);
    grantWaiting(gate, now, ended);
    request.serviceTime = expectedTime(gate.queue.times, request.route);
    request.priority = classInQueue(gate, request);
    ticket->waiter = makeWaiter(gate, request, options, now);
    request.ahead = waitersAhead(gate.queue.order, ticket->waiter);
    const AdmissionDecision decision = decideAdmission(loadOf(gate), request, options, now);
    if (decision.verdict == AdmissionVerdict::Refuse) {
        return refusal(gate, decision.reason);
    }
    if (!joinQueue(gate, request, options, ticket, now, ended)) {
        return refusal(gate, Reason::QueueFull);
    }
    grantWaiting(gate, now, ended);
    std::erase(ended, ticket);
    if (ticket->state == TicketState::Refused) {
        return refusal(gate, ticket->reason);
    }
    const bool granted = ticket->state == TicketState::Granted;
    if (!granted) {
        gate.waits.fetch_add(1, std::memory_order_relaxed);
    }
    return {granted ? AdmissionVerdict::Run : AdmissionVerdict::Wait, Reason::None};
}

/// Adapts the limit when the window of the request's route is full. Requires the mutex to be held.
void adaptToServiceTime(Gate &gate, const ServedRequest &served, Slots announced)
{
    const auto mean = recordSample(gate.queue.times, served.route, served.serviceTime, ServiceTimesOptions{});
    if (!mean) {
        return;
    }
    Duration &baseline = useRecord(gate.queue.times, served.route).baseline;
    const AdaptiveLimit adapted = adaptLimit({gate.queue.adaptiveLimit, baseline}, *mean, announced, AdaptiveLimitOptions{});
    gate.queue.adaptiveLimit = adapted.limit;
    baseline = adapted.baseline;
}

/// Requires the mutex to be held.
void updateLimit(Gate &gate, TimePoint now, EndedTickets &ended)
{
    const Slots announced{gate.announced.load(std::memory_order_relaxed)};
    const Slots adapted = limitInSlots({gate.queue.adaptiveLimit, {}}, announced);
    const Slots kneeLimited = kneeLimit(gate.queue.knee, announced, KneeOptions{}, now);
    gate.limit.store(std::min(adapted, kneeLimited).value);
    grantWaiting(gate, now, ended);
}

} // namespace

BackendLoad loadOf(const Gate &gate)
{
    BackendLoad load;
    load.limit = {gate.limit.load(std::memory_order_relaxed)};
    load.running = gate.running.load(std::memory_order_relaxed);
    load.queued = gate.queued.load(std::memory_order_relaxed);
    load.serviceTime = std::chrono::nanoseconds(gate.serviceTimeNs.load(std::memory_order_relaxed));
    load.draining = gate.draining.load(std::memory_order_relaxed);
    return load;
}

LoadReport reportOf(const Gate &gate)
{
    const BackendLoad load = loadOf(gate);
    return {load.running + load.queued, load.limit.value, load.serviceTime, Duration::zero(), gate.pacePercent.load(std::memory_order_relaxed)};
}

bool tryAcquireSlot(Gate &gate)
{
    const std::int64_t limit = std::min(gate.limit.load(), gate.announced.load());
    std::int64_t running = gate.running.load();
    while (running < limit) {
        if (!gate.running.compare_exchange_weak(running, running + 1)) {
            continue;
        }
        if (gate.draining.load()) {
            gate.running.fetch_sub(1);
            return false;
        }
        gate.admitted.fetch_add(1, std::memory_order_relaxed);
        return true;
    }
    return false;
}

AdmissionDecision acquireSlot(Gate &gate, const AdmissionRequest &request, const AdmissionOptions &options, const std::shared_ptr<Ticket> &ticket,
                              TimePoint now)
{
    if (gate.draining.load()) {
        return refusal(gate, Reason::BackendDraining);
    }
    if (expired(request.deadline, now)) {
        return refusal(gate, Reason::DeadlinePassed);
    }
    if (gate.queued.load() == 0 && tryAcquireSlot(gate)) {
        return {AdmissionVerdict::Run, Reason::None};
    }
    EndedTickets ended;
    const AdmissionDecision decision = enterQueue(gate, request, options, ticket, now, ended);
    wakeAll(ended);
    return decision;
}

TicketState finishWait(Gate &gate, Ticket &ticket, Reason reason)
{
    const std::lock_guard lock(gate.queue.mutex);
    if (ticket.state == TicketState::Waiting) {
        removeWaiter(gate.queue.order, ticket.waiter);
        gate.queue.tickets.erase(ticket.waiter.id);
        publishQueued(gate);
        ticket.state = TicketState::Refused;
        ticket.reason = reason;
    }
    if (ticket.state == TicketState::Refused) {
        ticket.reason = ticket.reason == Reason::None ? reason : ticket.reason;
        countRefusal(gate, ticket.reason);
    }
    return ticket.state;
}

void releaseSlot(Gate &gate, TimePoint now)
{
    gate.running.fetch_sub(1);
    if (gate.queued.load() > 0) {
        serveQueue(gate, now);
    }
}

Deadline planReturn(Gate &gate, Duration limit, TimePoint now)
{
    const std::lock_guard lock(gate.queue.mutex);
    return planReturn(gate.queue.returns, loadOf(gate), {.limit = limit}, now);
}

void recordServiceTime(Gate &gate, const ServedRequest &served, TimePoint now)
{
    updateAverage(gate.serviceTimeNs, std::chrono::nanoseconds(served.serviceTime).count());
    EndedTickets ended;
    {
        const std::lock_guard lock(gate.queue.mutex);
        const Slots announced{gate.announced.load(std::memory_order_relaxed)};
        recordSample(gate.queue.knee, {served.runningAtStart, announced, served.serviceTime}, KneeOptions{}, now);
        adaptToServiceTime(gate, served, announced);
        updateLimit(gate, now, ended);
    }
    wakeAll(ended);
}

Duration serviceTimeOf(Gate &gate, RouteKey route)
{
    const std::lock_guard lock(gate.queue.mutex);
    const Duration expected = expectedTime(gate.queue.times, route);
    return expected > Duration::zero() ? expected : loadOf(gate).serviceTime;
}

void recordPace(Gate &gate, std::int64_t percent, TimePoint now)
{
    gate.pacePercent.store(percent, std::memory_order_relaxed);
    gate.paceAtNs.store(toNanoseconds(now), std::memory_order_relaxed);
}

Pace paceOf(const Gate &gate)
{
    constexpr double percentPerUnit = 100;
    const auto percent = static_cast<double>(gate.pacePercent.load(std::memory_order_relaxed));
    return {percent / percentPerUnit, fromNanoseconds(gate.paceAtNs.load(std::memory_order_relaxed))};
}

bool paceProbeAvailable(Gate &gate, TimePoint now)
{
    const std::lock_guard lock(gate.queue.mutex);
    refill(gate.queue.paceProbeBudget, paceProbeLimits, now);
    return gate.queue.paceProbeBudget.tokens >= 1;
}

void takePaceProbe(Gate &gate, TimePoint now)
{
    const std::lock_guard lock(gate.queue.mutex);
    take(gate.queue.paceProbeBudget, paceProbeLimits, 1, now);
}

void countRefusal(Gate &gate, Reason reason)
{
    gate.refused.fetch_add(1, std::memory_order_relaxed);
    const auto index = static_cast<std::size_t>(reason);
    if (index < refusalCounters) {
        gate.refusals.at(index).fetch_add(1, std::memory_order_relaxed);
    }
}

BackendEndId randomEndId()
{
    Random random = entropyRandom();
    return {nextBits(random) >> 1U}; // Fits into a signed number on the wire.
}

BackendEndId recordEnd(Gate &gate)
{
    gate.ended.store(true);
    return {gate.processEnd.load()};
}

void recordConnect(Gate &gate, bool connected)
{
    if (connected) {
        if (gate.ended.exchange(false)) {
            gate.processEnd.store(randomEndId().value);
        }
        gate.connectFailures.store(0, std::memory_order_relaxed);
        gate.down.store(false);
        return;
    }
    if (gate.connectFailures.fetch_add(1, std::memory_order_relaxed) + 1 >= connectFailuresUntilDown) {
        gate.down.store(true);
    }
}

} // namespace agatedoor
