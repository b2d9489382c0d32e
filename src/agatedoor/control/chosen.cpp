#include "chosen.hpp"

#include <algorithm>

namespace agatedoor {

bool isChosen(const Settings &settings, const FleetRoster &roster, std::string_view purpose, std::size_t count)
{
    std::vector<NodeId> candidates;
    for (const auto &record : roster.present) {
        if (record.region == settings.region && !record.stopping) {
            candidates.push_back(record.node);
        }
    }
    const auto nodes = rendezvous(candidates, purpose, count);
    return std::find(nodes.begin(), nodes.end(), settings.node) != nodes.end();
}

} // namespace agatedoor
