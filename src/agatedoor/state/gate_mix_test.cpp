#include "agatedoor/state/gate.hpp"
#include "support/story.hpp"

#include <gtest/gtest.h>

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using test::section;

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr Slots announced{9};
constexpr std::int64_t busySlots = 5; ///< Below the load at which a backend server counts as nearly full.
constexpr RouteKey lookups{1};
constexpr RouteKey orders{2};
constexpr Duration lookupTime = milliseconds(22);
constexpr Duration orderTime = milliseconds(150);

/// Service times of a backend server that serves @p orderCount orders for each lookup, @p slowdown times as slow as usual.
void serveMix(Gate &gate, int lookupCount, int orderCount, int slowdown = 1)
{
    for (int i = 0; i < lookupCount; ++i) {
        recordServiceTime(gate, {lookups, lookupTime * slowdown, busySlots}, start);
        for (int j = 0; j < orderCount; ++j) {
            recordServiceTime(gate, {orders, orderTime * slowdown, busySlots}, start);
        }
    }
}

/// What the gate decides about a lookup that has @p timeLeft while all slots are in use.
AdmissionDecision offerLookup(Gate &gate, Duration timeLeft)
{
    while (tryAcquireSlot(gate)) {}
    auto ticket = std::make_shared<Ticket>();
    ticket->wake = [] {};
    const AdmissionRequest request{.deadline = deadlineAfter(start, timeLeft), .route = lookups};
    return acquireSlot(gate, request, AdmissionOptions{}, ticket, start);
}

} // namespace

TEST(GateMix, ALargerShareOfLongRequestsIsNoSlowdown)
{
    Gate gate(announced);
    section("a backend server serves short lookups, then as many long orders too", [&] {
        serveMix(gate, 320, 0);
        serveMix(gate, 64, 1);
        EXPECT_EQ(gate.limit.load(), announced.value);
    });
    section("most requests are long orders then, each as fast as before", [&] {
        serveMix(gate, 64, 3);
        EXPECT_EQ(gate.limit.load(), announced.value);
    });
    section("when both take four times as long, the limit falls", [&] {
        serveMix(gate, 64, 3, 4);
        EXPECT_LT(gate.limit.load(), announced.value);
    });
}

TEST(GateMix, AShortRequestIsJudgedByItsOwnServiceTime)
{
    Gate gate(announced);
    serveMix(gate, 64, 3);
    section("a lookup has less time left than the average request takes, but enough for itself",
            [&] { EXPECT_EQ(offerLookup(gate, milliseconds(100)).verdict, AdmissionVerdict::Wait); });
    section("with too little time for itself it is refused at once", [&] {
        const AdmissionDecision decision = offerLookup(gate, milliseconds(20));
        EXPECT_EQ(decision.verdict, AdmissionVerdict::Refuse);
        EXPECT_EQ(decision.reason, Reason::DeadlineTooShort);
    });
}

} // namespace agatedoor
