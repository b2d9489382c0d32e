#include "adopt_departures.hpp"

#include "agatedoor/wire/log.hpp"

namespace agatedoor {

void adoptDepartures(LocalBackendController &backends, const std::vector<Departure> &departures, TimePoint now)
{
    for (const auto &departure : backends.applyDepartures(departures, now)) {
        logLine(LogLevel::Info, "departure-adopted",
                {{"backend", departure.backend.value}, {"step", std::string(wireName(departure.step))}, {"last_born", departure.lastBorn.value}});
    }
}

} // namespace agatedoor
