#include "agatedoor/decide/subset.hpp"

#include "support/story.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace agatedoor {

namespace {

constexpr int nodeCount = 1300;
constexpr int serviceCount = 37;
constexpr int zoneCount = 7;

/// Zones 0 to 2 are one region, 3 and 4 another, 5 and 6 the third.
int regionOf(int zone)
{
    return zone < 3 ? 0 : (zone < 5 ? 1 : 2);
}

struct Fleet
{
    std::vector<std::string> names; ///< Backend servers of one service.
    std::vector<int> zones;
};

/// Every 37th node has a backend server of this service; zones are assigned in turn.
Fleet serviceOf(int service)
{
    Fleet fleet;
    for (int node = service; node < nodeCount; node += serviceCount) {
        fleet.names.push_back("backend-" + std::to_string(node));
        fleet.zones.push_back(node % zoneCount);
    }
    return fleet;
}

/// Members with their localities relative to a node in @p zone.
std::vector<SubsetMember> seenFrom(const Fleet &fleet, int zone)
{
    std::vector<SubsetMember> members;
    for (std::size_t i = 0; i < fleet.names.size(); ++i) {
        const int other = fleet.zones[i];
        const auto locality = other == zone ? Locality::SameZone : (regionOf(other) == regionOf(zone) ? Locality::SameRegion : Locality::OtherRegion);
        members.push_back({fleet.names[i], locality});
    }
    return members;
}

std::vector<std::size_t> subsetOf(const Fleet &fleet, int node, const SubsetOptions &options = {})
{
    return chooseSubset(seenFrom(fleet, node % zoneCount), "node-" + std::to_string(node), nodeCount, options);
}

/// Number of names that are in @p a and not in @p b.
int missingFrom(const std::vector<std::string> &a, const std::vector<std::string> &b)
{
    return static_cast<int>(std::count_if(a.begin(), a.end(), [&](const std::string &name) { return std::find(b.begin(), b.end(), name) == b.end(); }));
}

std::vector<std::string> namesOf(const Fleet &fleet, const std::vector<std::size_t> &indices)
{
    std::vector<std::string> names;
    names.reserve(indices.size());
    for (const auto index : indices) {
        names.push_back(fleet.names[index]);
    }
    return names;
}

} // namespace

TEST(Subset, KeepsEveryBackendServerUnderItsConnectionLimit)
{
    int most = 0;
    int least = nodeCount;
    for (int service = 0; service < serviceCount; ++service) {
        const Fleet fleet = serviceOf(service);
        std::vector<int> users(fleet.names.size());
        for (int node = 0; node < nodeCount; ++node) {
            for (const auto index : subsetOf(fleet, node)) {
                ++users[index];
            }
        }
        most = std::max(most, *std::max_element(users.begin(), users.end()));
        least = std::min(least, *std::min_element(users.begin(), users.end()));
    }
    RecordProperty("most", most);
    std::printf("nodes for each backend server: %d to %d\n", least, most);
    EXPECT_LT(most, SubsetOptions{}.connections.value);
    EXPECT_GT(least, 0);
}

TEST(Subset, PrefersTheOwnZoneAndReservesMembersElsewhere)
{
    const Fleet fleet = serviceOf(0);
    SubsetOptions options;
    options.usable = {100};
    const auto members = seenFrom(fleet, 2);
    std::vector<int> counts(localityCount);
    for (const auto index : chooseSubset(members, "node-2", nodeCount, options)) {
        ++counts[static_cast<std::size_t>(members[index].locality)];
    }
    EXPECT_EQ(counts, (std::vector<int>{4, 1, 1}));
    test::section("a small fleet uses all backend servers", [&] { EXPECT_EQ(chooseSubset(members, "node-2", 20, {}).size(), members.size()); });
}

TEST(Subset, ChangesLittleWhenAMemberLeaves)
{
    EXPECT_TRUE(rc::check("a member that leaves changes at most one place in each locality", [](std::uint8_t node, std::uint8_t gone) {
        const Fleet before = serviceOf(3);
        Fleet after = before;
        const auto position = static_cast<std::ptrdiff_t>(gone % before.names.size());
        after.names.erase(after.names.begin() + position);
        after.zones.erase(after.zones.begin() + position);
        const auto namesBefore = namesOf(before, subsetOf(before, node));
        const auto namesAfter = namesOf(after, subsetOf(after, node));
        RC_ASSERT(missingFrom(namesBefore, namesAfter) <= 2);
        RC_ASSERT(subsetOf(before, node) == subsetOf(before, node));
    }));
}

} // namespace agatedoor
