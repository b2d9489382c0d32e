#include "agatedoor/decide/admission.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

/// Time until the request gets a slot, when slots become free at the average service time.
Duration predictedWait(const BackendLoad &load, const AdmissionRequest &request)
{
    if (load.limit.value <= 0) {
        return Duration::zero();
    }
    return load.serviceTime * (request.ahead + 1) / load.limit.value;
}

} // namespace

Deadline waitDeadline(const AdmissionRequest &request, const AdmissionOptions &options, TimePoint now)
{
    return earlier(request.deadline, deadlineAfter(now, options.longestWait));
}

std::int64_t queueCapacity(const BackendLoad &load, Slots announced, PriorityClass priority, const AdmissionOptions &options)
{
    const std::int64_t shortQueue = announced.value * options.queuePerSlot;
    if (priority != PriorityClass::High || load.serviceTime <= Duration::zero()) {
        return shortQueue;
    }
    return std::max(shortQueue, load.limit.value * options.longestWait / load.serviceTime);
}

AdmissionDecision decideAdmission(const BackendLoad &load, const AdmissionRequest &request, const AdmissionOptions &options, TimePoint now)
{
    if (load.draining) {
        return {AdmissionVerdict::Refuse, Reason::BackendDraining};
    }
    if (expired(request.deadline, now)) {
        return {AdmissionVerdict::Refuse, Reason::DeadlinePassed};
    }
    if (load.running < load.limit.value && load.queued == 0) {
        return {AdmissionVerdict::Run, Reason::None};
    }
    if (!request.mayWait) {
        return {AdmissionVerdict::Refuse, Reason::NoFreeSlot};
    }
    const Duration wait = predictedWait(load, request);
    const Duration own = request.serviceTime > Duration::zero() ? request.serviceTime : load.serviceTime;
    if (wait + own > remaining(request.deadline, now)) {
        return {AdmissionVerdict::Refuse, Reason::DeadlineTooShort};
    }
    if (wait > options.longestWait) {
        return {AdmissionVerdict::Refuse, Reason::QueueFull};
    }
    return {AdmissionVerdict::Wait, Reason::None};
}

} // namespace agatedoor
