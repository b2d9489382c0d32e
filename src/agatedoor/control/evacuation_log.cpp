#include "evacuation_log.hpp"

#include "agatedoor/wire/log.hpp"

namespace agatedoor {

void logEvacuations(const EvacuatedZones &zones, const NodeId &from, Duration age)
{
    std::string names;
    for (const auto &zone : zones) {
        names += (names.empty() ? "" : " ") + zone.value;
    }
    logLine(LogLevel::Info, "evacuated-zones", {{"zones", names}, {"from", from.value}, {"age_ms", age / std::chrono::milliseconds(1)}});
}

} // namespace agatedoor
