#include "agatedoor/state/request_trial.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace agatedoor {

namespace {

/// This node's place among those that may ask, from 0 to 1; another one for each request.
double placeOf(const NodeId &self, const ContentDigest &content)
{
    constexpr double hashValues = 18446744073709551616.0; // 2^64
    const std::uint64_t seed = XXH3_64bits(content.value.data(), content.value.size());
    return static_cast<double>(XXH3_64bits_withSeed(self.value.data(), self.value.size(), seed)) / hashValues;
}

Duration turnOf(const TrialFleet &fleet, const ContentDigest &content, const TrialOptions &options)
{
    const auto spread = std::chrono::duration<double>(options.perNode) * static_cast<double>(fleet.nodes);
    return std::chrono::duration_cast<Duration>(spread * placeOf(fleet.self, content));
}

} // namespace

std::optional<RequestTrial> dueTrial(const RefusedRequest &request, const TrialFleet &fleet, TimePoint now, const TrialOptions &options)
{
    const RequestSuspicion &suspicion = request.suspicion;
    if (suspicion.ends == 0 || suspicion.trials >= options.maxTrials) {
        return std::nullopt;
    }
    const Duration wait = request.answeredBefore ? options.waitIfAnsweredBefore : options.wait;
    TimePoint dueAt = suspicion.lastEndAt + wait;
    if (suspicion.trials > 0) {
        dueAt = std::max(dueAt, suspicion.nextTrialAt.at);
    }
    if (now < dueAt + turnOf(fleet, request.content, options)) {
        return std::nullopt;
    }
    return RequestTrial{request.content, suspicion.trials};
}

} // namespace agatedoor
