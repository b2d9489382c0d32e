#include "backend_choice.hpp"

#include "agatedoor/decide/ejection.hpp"
#include "agatedoor/decide/near_paths.hpp"
#include "agatedoor/decide/routing.hpp"
#include "agatedoor/proxy/headers.hpp"
#include "agatedoor/proxy/link_traffic.hpp"
#include "agatedoor/state/record_attempt.hpp"
#include "customer_identity.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr EjectionOptions ejectionOptions{};

/// Weight of a backend server that grows linearly to 1 during @p warmUp after it joined. A new one still gets a tenth of
/// its share.
double warmUpWeight(const BackendEntry &entry, Duration warmUp, TimePoint now)
{
    if (warmUp <= Duration::zero()) {
        return 1.0;
    }
    constexpr double minWeight = 0.1;
    const double share = std::chrono::duration<double>(now - entry.joinedAt) / std::chrono::duration<double>(warmUp);
    return std::clamp(share, minWeight, 1.0);
}

/// Expected network delay to the node that owns the backend server; 0 for this node.
Duration expectedPathDelay(const NodeState &node, const BackendEntry &entry)
{
    return entry.node == node.settings.node ? Duration::zero() : pathDelay(node.pathDelays, entry.locality);
}

Candidate toCandidate(const BackendEntry &entry, const RequestContext &context, const EvacuatedZones &evacuated, const std::vector<BackendId> &tried,
                      TimePoint now)
{
    Candidate candidate = candidateOf(*entry.stats, ejectionOptions, now);
    candidate.locality = entry.locality;
    candidate.slots = entry.slots;
    candidate.pathDelay = expectedPathDelay(context.worker.node, entry);
    candidate.weight *= warmUpWeight(entry, context.service->warmUp, now);
    const auto notice = context.worker.node.notices.find(entry.backend, entry.born, now);
    candidate.draining = entry.draining || (notice && notice->leaving) || evacuated.contains(entry.zone);
    candidate.avoided = avoided(*entry.stats, entry.incarnation, now);
    candidate.excluded = std::find(tried.begin(), tried.end(), entry.backend) != tried.end() || !mayRunIn(context, entry.region);
    return candidate;
}

} // namespace

const BackendEntry *chooseEntry(RequestContext &context, const FleetView &fleet, const std::vector<BackendId> &tried)
{
    const auto found = fleet.services.find(context.service->name);
    if (found == fleet.services.end()) {
        return nullptr;
    }
    const TimePoint now = Clock::now();
    const auto evacuated = context.worker.node.headConfirmation.evacuated();
    std::vector<Candidate> &candidates = context.worker.candidates;
    candidates.clear();
    for (const auto &entry : found->second) {
        candidates.push_back(toCandidate(entry, context, *evacuated, tried, now));
    }
    limitEjections(candidates, ejectionOptions);
    RoutingOptions options;
    options.policy = context.service->routing;
    options.nearOnly = context.nearOnly;
    options.mayCrossRegion = mayLeaveRegion(context, now);
    const Bytes bytes = expectedLinkBytes(context);
    options.localityPenalties = localityPenaltiesOf(bytes);
    if (context.bundle->bundle.budgets.sizesByRoute) {
        context.worker.metrics.keptNear += keepNear(candidates, bytes, now) > 0 ? 1 : 0;
    }
    const auto chosen = chooseBackend(candidates, options, now, context.worker.random, context.worker.turn);
    return chosen ? &found->second[*chosen] : nullptr;
}

namespace {

/// Remembers what the backend server said of itself in the answer that this node is about to pass on.
void rememberNotice(NodeState &node, const BackendEntry &entry, const StringResponse &response, TimePoint now)
{
    BackendNotice notice;
    notice.born = entry.born;
    notice.leaving = header::text(response, node.edge.leaving) == "1";
    notice.requestLimit = header::requestRate(header::text(response, node.edge.requestLimit)).value_or(0);
    node.notices.record(entry.backend, notice, now);
}

} // namespace

TimePoint beginAttempt(const BackendEntry &entry)
{
    const TimePoint now = Clock::now();
    beginAttempt(*entry.stats, now);
    return now;
}

void endAttempt(RequestContext &context, const BackendEntry &entry, TimePoint startedAt, const AttemptResult &result)
{
    const TimePoint now = Clock::now();
    NodeState &node = context.worker.node;
    EndedAttempt attempt;
    attempt.end.outcome = result.outcome;
    attempt.end.reason = result.reason;
    attempt.end.status = result.response ? static_cast<int>(result.response->result_int()) : 0;
    attempt.end.elapsed = now - startedAt;
    attempt.load = result.load;
    attempt.incarnation = entry.incarnation;
    attempt.pathDelay = expectedPathDelay(node, entry);
    recordAttempt(*entry.stats, attempt, ejectionOptions, now);
    countLinkTraffic(context, entry, result, now);
    if (result.response) {
        rememberNotice(node, entry, *result.response, now);
    }
    recordAnswerSize(context, result);
    if (result.load && result.load->timeAtOwner > Duration::zero()) {
        recordPathDelay(node.pathDelays, entry.locality, attempt.end.elapsed, result.load->timeAtOwner);
    }
}

void abandonAttempt(const BackendEntry &entry, TimePoint startedAt)
{
    const TimePoint now = Clock::now();
    endAttempt(*entry.stats, now);
    constexpr int expectedTimeFactor = 2; // A cancelled attempt is expected to have needed about as long again.
    recordNoAnswer(*entry.stats, expectedTimeFactor * (now - startedAt), now);
}

} // namespace agatedoor
