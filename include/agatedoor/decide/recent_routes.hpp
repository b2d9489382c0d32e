#pragma once

#include "agatedoor/base/ids.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

/// @brief Records kept apart by route, for the routes that were used most recently.
///
/// Configurations may name any number of routes and replace them, so the number of records is bounded.
namespace agatedoor {

/// @brief Largest number of routes that records are kept for.
inline constexpr std::size_t maxRecentRoutes = 64;

/// @brief Records by route.
template <typename Record>
struct RecentRoutes
{
    struct Entry
    {
        Record record;
        std::uint64_t lastUse = 0; ///< Number of the latest use, counted over all routes.
    };

    std::map<RouteKey, Entry> entries;
    std::uint64_t uses = 0; ///< Uses of all records.
};

/// @brief The record of @p route. A route beyond @p maxRoutes replaces the one that was used least recently.
template <typename Record>
Record &useRecord(RecentRoutes<Record> &routes, RouteKey route, std::size_t maxRoutes = maxRecentRoutes)
{
    auto found = routes.entries.find(route);
    if (found == routes.entries.end() && routes.entries.size() >= maxRoutes) {
        const auto older = [](const auto &a, const auto &b) { return a.second.lastUse < b.second.lastUse; };
        routes.entries.erase(std::min_element(routes.entries.begin(), routes.entries.end(), older));
    }
    auto &entry = routes.entries[route];
    entry.lastUse = ++routes.uses;
    return entry.record;
}

/// @brief The record of @p route; null when there is none.
template <typename Record>
const Record *findRecord(const RecentRoutes<Record> &routes, RouteKey route)
{
    const auto found = routes.entries.find(route);
    return found == routes.entries.end() ? nullptr : &found->second.record;
}

} // namespace agatedoor
