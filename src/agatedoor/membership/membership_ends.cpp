#include "membership_ends.hpp"

#include <bit>

namespace agatedoor {

namespace {

constexpr int extraTransmissions = 2;
constexpr std::size_t endOverhead = 24; ///< Encoded size without the requests, in bytes.
constexpr std::size_t requestBytes = 64; ///< Encoded size of one request, in bytes.

std::chrono::milliseconds millisUntil(Deadline deadline, TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(remaining(deadline, now));
}

BackendEndNews newsOf(const BackendEnd &end, TimePoint now)
{
    BackendEndNews news{end.id, {}, millisUntil(end.forgetAt, now)};
    for (const auto &request : end.requests) {
        news.requests.push_back({request.content, request.answeredSince, request.trials, millisUntil(request.nextTrialAt, now)});
    }
    return news;
}

BackendEnd endOf(const BackendEndNews &news, TimePoint now)
{
    BackendEnd end{news.id, {}, deadlineAfter(now, news.forgetAfter)};
    for (const auto &request : news.requests) {
        end.requests.push_back({request.content, request.answeredSince, request.trials, deadlineAfter(now, request.nextTrialIn)});
    }
    return end;
}

std::size_t sizeBound(const BackendEnd &end)
{
    return endOverhead + requestBytes * end.requests.size();
}

} // namespace

void queueEnd(Membership &membership, BackendEndId id)
{
    membership.queuedEnds[id] = static_cast<int>(std::bit_width(membership.table.members.size())) + extraTransmissions;
}

void addQueuedEnds(Membership &membership, PeerMessage &message, TimePoint now)
{
    std::size_t size = 0;
    for (auto queued = membership.queuedEnds.begin(); queued != membership.queuedEnds.end();) {
        const auto known = membership.ends.byId.find(queued->first);
        if (known == membership.ends.byId.end()) {
            queued = membership.queuedEnds.erase(queued);
            continue;
        }
        size += sizeBound(known->second);
        if (size > membership.options.maxMessageBytes && !message.ends.empty()) {
            return;
        }
        message.ends.push_back(newsOf(known->second, now));
        queued = --queued->second <= 0 ? membership.queuedEnds.erase(queued) : std::next(queued);
    }
}

void addDifferingEnds(const Membership &membership, const PeerMessage &request, PeerMessage &reply, TimePoint now)
{
    if (request.endsDigest == digestOf(membership.ends)) {
        return;
    }
    for (const auto &[id, end] : membership.ends.byId) {
        reply.ends.push_back(newsOf(end, now));
    }
}

std::vector<BackendEnd> endsOf(const PeerMessage &message, TimePoint now)
{
    std::vector<BackendEnd> ends;
    for (const auto &news : message.ends) {
        ends.push_back(endOf(news, now));
    }
    return ends;
}

} // namespace agatedoor
