#include "agatedoor/membership/fleet_view.hpp"

#include "support/story.hpp"

namespace agatedoor {

namespace {

using test::section;

const TimePoint start = TimePoint{} + std::chrono::hours(1);
const NodeLocation here{{"ingress"}, {"zone"}, {"region"}};

/// Table with one other member, whose backend server "a" was started at @p born.
FleetTable tableWith(std::int64_t born, std::uint64_t incarnation = 1)
{
    MemberRecord owner;
    owner.node = {"owner"};
    owner.incarnation = {incarnation};
    owner.zone = here.zone;
    owner.region = here.region;
    owner.backends = {{{"a"}, {"orders"}, {12}, {260}, BackendStatus::Serving, {born}}};
    FleetTable table;
    mergeMember(table, owner);
    return table;
}

const BackendEntry &entryOf(const FleetView &view)
{
    return view.services.at({"orders"}).front();
}

} // namespace

TEST(FleetView, CarriesStatisticsOverUntilARestart)
{
    const auto first = buildView(tableWith(100), here, {}, start);
    section("they are kept while the backend server process runs", [&] {
        const auto next = buildView(tableWith(100), here, *first, start + std::chrono::seconds(1));
        EXPECT_EQ(entryOf(*next).stats, entryOf(*first).stats);
        EXPECT_EQ(entryOf(*next).joinedAt, start);
    });
    section("a restarted backend server with the same id starts with new statistics and a new warm-up", [&] {
        const auto next = buildView(tableWith(200), here, *first, start + std::chrono::seconds(1));
        EXPECT_NE(entryOf(*next).stats, entryOf(*first).stats);
        EXPECT_EQ(entryOf(*next).joinedAt, start + std::chrono::seconds(1));
    });
    section("so does a backend server whose node has restarted", [&] {
        const auto next = buildView(tableWith(100, 2), here, *first, start + std::chrono::seconds(1));
        EXPECT_NE(entryOf(*next).stats, entryOf(*first).stats);
    });
}

} // namespace agatedoor
