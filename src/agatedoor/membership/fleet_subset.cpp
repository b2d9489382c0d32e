#include "agatedoor/membership/fleet_subset.hpp"

#include "agatedoor/decide/subset.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

Connections minConnections(const std::vector<BackendEntry> &entries)
{
    Connections least = entries.front().connections;
    for (const auto &entry : entries) {
        least = std::min(least, entry.connections);
    }
    return least;
}

void applySubset(std::vector<BackendEntry> &entries, const NodeId &node, std::int64_t nodes)
{
    std::vector<SubsetMember> members;
    members.reserve(entries.size());
    for (const auto &entry : entries) {
        members.push_back({entry.backend.value, entry.locality});
    }
    SubsetOptions options;
    options.connections = minConnections(entries);
    const auto kept = chooseSubset(members, node.value, nodes, options);
    if (kept.size() == entries.size()) {
        return;
    }
    std::vector<BackendEntry> subset;
    subset.reserve(kept.size());
    for (const auto index : kept) {
        subset.push_back(std::move(entries[index]));
    }
    entries = std::move(subset);
}

} // namespace

void applySubsets(FleetView &view, const NodeId &node, std::int64_t nodes)
{
    for (auto &[service, entries] : view.services) {
        applySubset(entries, node, nodes);
    }
}

} // namespace agatedoor
