#include "backend_admission.hpp"

#include "agatedoor/state/gate_cold.hpp"
#include "agatedoor/state/gate_request_limit.hpp"
#include "agatedoor/wire/log.hpp"
#include "pace_reading.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace agatedoor {

namespace {

/// Wait of one request for a slot. The destructor settles the ticket, so that no slot leaks however the coroutine ends.
class SlotWait
{
public:
    SlotWait(asio::io_context &context, const std::shared_ptr<Gate> &gate)
        : m_gate(gate)
        , m_ticket(std::make_shared<Ticket>())
        , m_timer(std::make_shared<asio::steady_timer>(context))
    {
        m_ticket->wake = [&context, timer = m_timer] { asio::post(context, [timer] { timer->expires_at(TimePoint::min()); }); };
    }
    ~SlotWait()
    {
        if (m_waiting && finishWait(*m_gate, *m_ticket, Reason::CallerGone) == TicketState::Granted) {
            releaseSlot(*m_gate, Clock::now());
        }
    }
    SlotWait(const SlotWait &) = delete;
    SlotWait &operator=(const SlotWait &) = delete;

    AdmissionDecision acquireSlot(const AdmissionRequest &request)
    {
        const AdmissionDecision decision = agatedoor::acquireSlot(*m_gate, request, AdmissionOptions{}, m_ticket, Clock::now());
        m_waiting = decision.verdict == AdmissionVerdict::Wait;
        return decision;
    }

    /// Waits until the slot is granted or refused; Reason::None when it is granted.
    asio::awaitable<Reason> awaitSlot(const BackendRequest &request)
    {
        error_code ignored;
        m_timer->expires_at(m_ticket->waiter.latest.at);
        const CancelHook hook(request.cancellation, [this] { m_timer->expires_at(TimePoint::min()); });
        co_await m_timer->async_wait(into(ignored));
        m_waiting = false;
        const TicketState state = finishWait(*m_gate, *m_ticket, timeoutReason(request));
        co_return state == TicketState::Granted ? Reason::None : m_ticket->reason;
    }

private:
    /// Reason for a wait that ended without a decision of the gate: cancelled, past the deadline, or too long in the queue.
    Reason timeoutReason(const BackendRequest &request) const
    {
        if (cancelled(request.cancellation)) {
            return Reason::CallerGone;
        }
        if (m_ticket->lateReason != Reason::None) {
            return m_ticket->lateReason;
        }
        return expired(request.deadline, Clock::now()) ? Reason::DeadlinePassed : Reason::QueueFull;
    }

    std::shared_ptr<Gate> m_gate;
    std::shared_ptr<Ticket> m_ticket;
    std::shared_ptr<asio::steady_timer> m_timer;
    bool m_waiting = false;
};

constexpr double requestLimitUnit = 1000; ///< Seconds; a log line has whole numbers only.

/// Microseconds from @p time to @p now; -1 when @p time is unset.
std::int64_t microsecondsSince(TimePoint time, TimePoint now)
{
    return time == TimePoint{} ? -1 : inMicroseconds(now - time).count();
}

/// Logs a refusal with the values that it was decided on. Nothing was sent to the backend server.
void logRefusal(const BackendRequest &request, const Gate &gate, const Refusal &refusal)
{
    const TimePoint now = Clock::now();
    const Duration returnIn = refusal.returnAt ? remaining(*refusal.returnAt, now) : Duration::zero();
    const BackendLoad load = loadOf(gate);
    const Pace pace = paceOf(gate);
    logDecision("refused",
                {{"request_id", request.id.value},
                 {"backend", request.target.value},
                 {"reason", std::string(wireName(refusal.reason))},
                 {"return_in_us", inMicroseconds(returnIn).count()},
                 {"priority", std::string(wireName(request.priority))},
                 {"customer", request.customer.value},
                 {"depth", request.depth},
                 {"running", load.running},
                 {"limit", load.limit.value},
                 {"queued", load.queued},
                 {"service_time_us", inMicroseconds(load.serviceTime).count()},
                 {"requests_in_1000_s", static_cast<std::int64_t>(gate.requestLimit.load() * requestLimitUnit)},
                 {"cold_left_ms", coldLeft(gate, now) / std::chrono::milliseconds(1)},
                 {"pace_percent", gate.pacePercent.load(std::memory_order_relaxed)},
                 {"pace_age_us", microsecondsSince(pace.readAt, now)},
                 {"time_left_us", inMicroseconds(remaining(request.deadline, now)).count()},
                 {"outcome", std::string(wireName(RunOutcome::NotRun))}});
}

/// What the gate decides on. Where the bundle needs keys, a request without one that got here is of a route that needs no
/// key. The calls of backend servers are; they need not carry on the depth.
AdmissionRequest makeAdmissionRequest(const Worker &worker, const BackendRequest &request)
{
    AdmissionRequest made{.priority = request.priority, .deadline = request.deadline, .route = request.route, .mayWait = !request.spareOnly};
    made.byCustomer = needsKeys(worker.node.bundles.current()->bundle);
    if (made.byCustomer) {
        made.customer = request.customer;
        made.nested = request.depth > 1 || request.customer.value.empty();
    }
    return made;
}

bool isEvacuated(const NodeState &node)
{
    return node.headConfirmation.evacuated()->contains(node.settings.zone);
}

/// Reason not to send a request now that a slot is free and the VM's pace allows it; Reason::None when there is none.
Reason lastCheck(const Worker &worker, const Admitted &admitted)
{
    if (isEvacuated(worker.node)) {
        return Reason::ZoneEvacuated;
    }
    const auto inForce = worker.node.bundles.current();
    const Service *service = findService(inForce->bundle, admitted.service);
    const double coldRate = service == nullptr ? 0 : service->coldRate;
    return takeColdRequest(*admitted.slot.sharedGate(), coldRate, Clock::now()) ? Reason::None : Reason::BackendCold;
}

/// Refusal of a request for which there was no slot in time. Its caller is given a time to come back, unless other attempts go on.
Refusal refuseForLoad(const Worker &worker, const BackendRequest &request, Gate &gate, Reason reason)
{
    Refusal refusal{reason};
    const Duration limit = worker.node.settings.returnLimit;
    const bool forLoad = reason == Reason::QueueFull || reason == Reason::DeadlineTooShort;
    if (forLoad && !request.spareOnly && limit > Duration::zero()) {
        refusal.returnAt = planReturn(gate, limit, Clock::now());
    }
    logRefusal(request, gate, refusal);
    return refusal;
}

/// Counts and logs a refusal of a request that has a slot.
void refuseAdmitted(const Admitted &admitted, const BackendRequest &request, Reason reason)
{
    countRefusal(*admitted.slot.sharedGate(), reason);
    logRefusal(request, admitted.slot.gate(), {reason});
}

/// Waits until the VM's pace allows the request to start; Reason::None when it does. Counts and logs a refusal.
asio::awaitable<Reason> checkPace(Worker &worker, const Admitted &admitted, const BackendRequest &request)
{
    const Reason slow = co_await awaitPace(worker, admitted, request);
    if (slow != Reason::None) {
        refuseAdmitted(admitted, request, slow);
    }
    co_return slow;
}

Result<Admitted, Refusal> granted(const LocalBackend &backend)
{
    return Admitted{SlotHandle(backend.gate), backend.endpoint, backend.record.service};
}

} // namespace

SlotHandle::SlotHandle(const std::shared_ptr<Gate> &gate)
    : m_gate(gate)
    , m_slot(gate.get(), [gate](Gate *held) { releaseSlot(*held, Clock::now()); })
{
}

asio::awaitable<std::optional<Result<Admitted, Refusal>>> admit(Worker &worker, const BackendRequest &request)
{
    const auto backends = worker.node.localBackends.current();
    const auto found = backends->backends.find(request.target);
    if (found == backends->backends.end()) {
        co_return Refusal{Reason::WrongTarget};
    }
    const LocalBackend &backend = found->second;
    if (isEvacuated(worker.node)) {
        countRefusal(*backend.gate, Reason::ZoneEvacuated);
        logRefusal(request, *backend.gate, {Reason::ZoneEvacuated});
        co_return Refusal{Reason::ZoneEvacuated};
    }
    if (request.rememberedLimit > 0) {
        adoptRequestLimit(*backend.gate, request.rememberedLimit, Clock::now());
    }
    LimitedRequest limited(backend.gate, Clock::now());
    if (!limited.allowed()) {
        countRefusal(*backend.gate, Reason::RequestLimit);
        logRefusal(request, *backend.gate, {Reason::RequestLimit});
        co_return Refusal{Reason::RequestLimit};
    }
    SlotWait wait(worker.context, backend.gate);
    const AdmissionDecision decision = wait.acquireSlot(makeAdmissionRequest(worker, request));
    if (decision.verdict == AdmissionVerdict::Refuse) {
        co_return refuseForLoad(worker, request, *backend.gate, decision.reason);
    }
    if (decision.verdict == AdmissionVerdict::Wait) {
        const Reason refused = co_await wait.awaitSlot(request);
        if (refused != Reason::None) {
            co_return refuseForLoad(worker, request, *backend.gate, refused);
        }
    }
    auto admitted = granted(backend);
    const Reason slow = co_await checkPace(worker, admitted.value(), request);
    if (slow != Reason::None) {
        co_return Refusal{slow};
    }
    const Reason refused = lastCheck(worker, admitted.value());
    if (refused != Reason::None) {
        refuseAdmitted(admitted.value(), request, refused);
        co_return Refusal{refused};
    }
    limited.keep();
    co_return admitted;
}

asio::awaitable<Reason> admitBody(Worker &worker, const Admitted &admitted, BackendRequest request)
{
    request.holdUntil = holdDeadlineAfterBody(request.deadline, serviceTimeOf(*admitted.slot.sharedGate(), request.route), PaceOptions{}, Clock::now());
    request.last = true; // Not refused for another VM to try: sending the body there would take longer than most slowdowns last.
    const Reason slow = co_await checkPace(worker, admitted, request);
    if (slow == Reason::None && isEvacuated(worker.node)) {
        refuseAdmitted(admitted, request, Reason::ZoneEvacuated);
        co_return Reason::ZoneEvacuated;
    }
    co_return slow;
}

} // namespace agatedoor
