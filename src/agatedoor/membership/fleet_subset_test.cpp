#include "agatedoor/membership/fleet_subset.hpp"

#include "support/story.hpp"

namespace agatedoor {

namespace {

FleetTable tableOf(int members)
{
    FleetTable table;
    for (int i = 0; i < members; ++i) {
        MemberRecord record;
        record.node = {"node-" + std::to_string(i)};
        record.zone = {i % 2 == 0 ? "here" : "there"};
        record.region = {"region"};
        record.backends = {{{"backend-" + std::to_string(i)}, {"lookup"}, {12}, {220}, BackendStatus::Serving}};
        mergeMember(table, record);
    }
    return table;
}

std::size_t subsetSize(int members)
{
    const auto view = buildView(tableOf(members), {{"node-0"}, {"here"}, {"region"}}, {}, TimePoint{});
    return view->services.at({"lookup"}).size();
}

} // namespace

TEST(FleetSubset, IsLimitedByTheConnectionsOfABackendServerNotByTheFleetSize)
{
    test::section("in a small fleet, every backend server is used", [] { EXPECT_EQ(subsetSize(24), 24U); });
    test::section("in a large fleet, the subset is limited by the usable share of the connections", [] {
        EXPECT_EQ(subsetSize(400), 132U);
        EXPECT_EQ(subsetSize(1300), 132U);
    });
}

} // namespace agatedoor
