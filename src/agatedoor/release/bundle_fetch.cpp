#include "agatedoor/release/bundle_fetch.hpp"

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds otherRegionDelay{1500};
constexpr std::chrono::seconds responseTimeout{1};
constexpr std::chrono::seconds refusalRetryDelay{5};

} // namespace

bool shouldFetch(BundleFetch &fetch, const AnnouncedGeneration &announced, Generation inForce, TimePoint now)
{
    if (announced.generation <= inForce || announced.generation < fetch.wanted) {
        return false;
    }
    if (announced.generation > fetch.wanted) {
        const bool behindAlready = fetch.wanted > inForce;
        const TimePoint behindSince = behindAlready ? fetch.behindSince : now;
        fetch = {announced.generation, behindSince, deadlineAfter(behindSince, otherRegionDelay), {TimePoint::min()}};
    }
    const bool allowed = announced.sameRegion || announced.representative || expired(fetch.otherRegionsFrom, now);
    if (!allowed || !expired(fetch.nextRequest, now)) {
        return false;
    }
    fetch.nextRequest = deadlineAfter(now, responseTimeout);
    return true;
}

void recordRefusal(BundleFetch &fetch, TimePoint now)
{
    fetch.nextRequest = deadlineAfter(now, refusalRetryDelay);
}

} // namespace agatedoor
