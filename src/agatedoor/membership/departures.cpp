#include "agatedoor/membership/departures.hpp"

#include <algorithm>
#include <tuple>

namespace agatedoor {

namespace {

void dropFirstToExpire(Departures &departures)
{
    auto &known = departures.byBackend;
    const auto first = std::min_element(known.begin(), known.end(), [](const auto &a, const auto &b) { return a.second.until < b.second.until; });
    known.erase(first);
}

} // namespace

std::string_view wireName(DepartureStep step)
{
    return step == DepartureStep::Gone ? "gone" : "draining";
}

bool supersedes(const Departure &a, const Departure &b)
{
    return std::tie(a.lastBorn, a.step) > std::tie(b.lastBorn, b.step);
}

bool recordDeparture(Departures &departures, const Departure &departure, TimePoint now, const DepartureOptions &options)
{
    removeExpired(departures, now);
    const Deadline until = deadlineAfter(now, options.retention);
    const auto found = departures.byBackend.find(departure.backend);
    if (found != departures.byBackend.end()) {
        const bool newer = supersedes(departure, found->second.departure);
        found->second = newer ? DepartureEntry{departure, until} : found->second;
        return newer;
    }
    if (departures.byBackend.size() >= options.maxEntries) {
        dropFirstToExpire(departures);
    }
    departures.byBackend[departure.backend] = {departure, until};
    return true;
}

std::optional<DepartureStep> departureStepOf(const Departures &departures, const BackendId &backend, UnixTime born, TimePoint now)
{
    const auto found = departures.byBackend.find(backend);
    if (found == departures.byBackend.end() || expired(found->second.until, now)) {
        return std::nullopt;
    }
    const Departure &departure = found->second.departure;
    const bool left = born.value == 0 || born <= departure.lastBorn;
    return left ? std::optional(departure.step) : std::nullopt;
}

void removeExpired(Departures &departures, TimePoint now)
{
    std::erase_if(departures.byBackend, [now](const auto &entry) { return expired(entry.second.until, now); });
}

std::vector<Departure> activeDepartures(const Departures &departures, TimePoint now)
{
    std::vector<Departure> result;
    for (const auto &[backend, known] : departures.byBackend) {
        if (!expired(known.until, now)) {
            result.push_back(known.departure);
        }
    }
    return result;
}

} // namespace agatedoor
