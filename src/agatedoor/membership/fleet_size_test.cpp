#include "agatedoor/membership/fleet_view.hpp"
#include "fake_fleet.hpp"
#include "support/story.hpp"

#include <malloc.h>

#include <iostream>

namespace agatedoor {

namespace {

constexpr int fleetSize = 1300;
constexpr int serviceCount = 37;
constexpr int zoneCount = 7;
constexpr int regionCount = 3;
constexpr std::size_t memoryLimit = 128UL * 1024 * 1024;

MemberRecord memberRecord(int number)
{
    MemberRecord record;
    record.node = {"node-" + std::to_string(number)};
    record.incarnation = {1'764'800'000'000'000ULL + static_cast<std::uint64_t>(number)};
    record.version = {3};
    record.zone = {"zone-" + std::to_string(number % zoneCount)};
    record.region = {"region-" + std::to_string(number % zoneCount % regionCount)};
    record.peers = {"10.20." + std::to_string(number / 250) + "." + std::to_string(number % 250), 8081};
    record.gossip = {record.peers.address, 8082};
    record.backends = {{{"backend-" + std::to_string(number)}, {"service-" + std::to_string(number % serviceCount)}, {12}, {260}}};
    return record;
}

} // namespace

TEST(FleetSize, ThirteenHundredMembersFitIntoMemoryAndSyncInBoundedMessages)
{
    test::FakeFleet fleet(3);
    fleet.start("full", "zone-0", "region-0", "service-0");
    fleet.start("late", "zone-0", "region-0", "service-0", "full");
    test::FakeNode &full = fleet.nodes.at("full");
    const std::size_t before = mallinfo2().uordblks;
    for (int i = 0; i < fleetSize; ++i) {
        mergeMember(full.membership.table, memberRecord(i));
    }
    const std::size_t tableBytes = mallinfo2().uordblks - before;

    test::section("the table and its view stay within the memory limit", [&] {
        const auto start = Clock::now();
        const auto view = buildView(full.membership.table, {{"full"}, {"zone-0"}, {"region-0"}}, {}, fleet.now);
        const auto took = inMicroseconds(Clock::now() - start);
        const std::size_t bytes = mallinfo2().uordblks - before;
        EXPECT_EQ(view->services.size(), static_cast<std::size_t>(serviceCount));
        EXPECT_LT(bytes, memoryLimit);
        std::cout << "table " << tableBytes << " bytes, table and view " << bytes << " bytes, view built in " << took.count() << " us\n";
    });
    test::section("a joining node receives all of them from one member in messages of bounded size", [&] {
        std::size_t largest = 0;
        std::size_t sum = 0;
        fleet.observe = [&](const MemberRecord &, const PeerMessage &message) {
            const std::size_t size = encodePeerMessage(message).size();
            largest = std::max(largest, size);
            sum += size;
        };
        const auto &late = fleet.nodes.at("late").membership.table.members;
        const auto took = fleet.runUntil([&] { return late.size() == fleetSize + 2; }, std::chrono::seconds(5));
        ASSERT_TRUE(took) << late.size();
        EXPECT_LE(largest, 2 * full.membership.options.maxSyncBytes);
        std::cout << "received in " << inMicroseconds(*took).count() / 1000 << " ms of virtual time, " << sum << " bytes, largest message " << largest << "\n";
    });
}

} // namespace agatedoor
