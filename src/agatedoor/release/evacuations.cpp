#include "agatedoor/release/evacuations.hpp"

#include <optional>

namespace agatedoor {

namespace {

std::optional<ZoneName> zoneOf(std::string_view key, std::string_view prefix)
{
    const bool named = !prefix.empty() && key.starts_with(prefix) && key.size() > prefix.size();
    return named ? std::optional(ZoneName{std::string(key.substr(prefix.size()))}) : std::nullopt;
}

} // namespace

EvacuatedZones zonesIn(const std::vector<StoreValue> &values, std::string_view prefix)
{
    EvacuatedZones zones;
    for (const auto &value : values) {
        if (auto zone = zoneOf(value.key, prefix)) {
            zones.insert(std::move(*zone));
        }
    }
    return zones;
}

void applyChanges(EvacuatedZones &zones, const std::vector<StoreEvent> &events, std::string_view prefix)
{
    for (const auto &event : events) {
        const auto zone = zoneOf(event.value.key, prefix);
        if (!zone) {
            continue;
        }
        if (event.removed) {
            zones.erase(*zone);
        } else {
            zones.insert(*zone);
        }
    }
}

EvacuatedZones zonesAfterRead(EvacuatedZones read, const EvacuatedZones &known, bool justRestored)
{
    if (justRestored) {
        read.insert(known.begin(), known.end());
    }
    return read;
}

StoreResult<Done> writeEvacuation(const Store &store, const ZoneName &zone, bool evacuated, Deadline deadline)
{
    const std::string key = std::string(evacuationPrefix) + zone.value;
    if (!evacuated) {
        return store.remove(key, deadline);
    }
    StoreTransaction write;
    write.puts.push_back({key, "{}"});
    BOOST_OUTCOME_TRYV2(auto &&, store.transact(write, deadline));
    return Done{};
}

} // namespace agatedoor
