#include "agatedoor/membership/local_backends.hpp"

#include "support/story.hpp"

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t startTimeOfDay = 1'000'000; ///< Wall clock at the start, in milliseconds.
const ClockReading start{TimePoint{} + std::chrono::hours(1), {startTimeOfDay}};

/// Both clocks @p time after the start, with the wall clock stepped by @p step.
ClockReading after(milliseconds time, milliseconds step = {})
{
    return {start.at + time, {startTimeOfDay + (time + step).count()}};
}

const milliseconds retention = std::chrono::duration_cast<milliseconds>(DepartureOptions{}.retention);

Announcement announcementOf(const std::string &id, std::int64_t born, std::int64_t sequence, BackendStatus status = BackendStatus::Serving)
{
    Announcement announcement;
    announcement.record = {{id}, {"ritarkiv"}, {12}, {260}, status};
    announcement.endpoint = {"10.1.0.8", 8301};
    announcement.version = {{born}, sequence};
    return announcement;
}

bool known(const LocalBackendController &controller, const std::string &id)
{
    return controller.current()->backends.contains({id});
}

std::shared_ptr<Gate> gateOf(const LocalBackendController &controller, const std::string &id)
{
    return controller.current()->backends.at({id}).gate;
}

} // namespace

TEST(LocalBackends, IgnoreStaleAnnouncements)
{
    LocalBackendController controller;
    ASSERT_TRUE(controller.announce(announcementOf("a", 100, 5, BackendStatus::Draining), start));
    test::section("an announcement overtaken by a drain doesn't undo it", [&] {
        EXPECT_EQ(controller.announce(announcementOf("a", 100, 4), start).error(), AnnounceError::Stale);
        EXPECT_TRUE(gateOf(controller, "a")->draining);
    });
    test::section("an earlier process at the same address doesn't replace a later one", [&] {
        EXPECT_EQ(controller.announce(announcementOf("b", 90, 9), start).error(), AnnounceError::Stale);
        EXPECT_FALSE(known(controller, "b"));
    });
    test::section("after a withdrawal, announcements of the same process are refused, those of a new process with the same id accepted", [&] {
        EXPECT_EQ(controller.withdraw({"a"}, start), LeaveEffect::Left);
        EXPECT_EQ(controller.announce(announcementOf("a", 100, 6), start).error(), AnnounceError::Stale);
        EXPECT_FALSE(known(controller, "a"));
        EXPECT_TRUE(controller.announce(announcementOf("a", 200, 1), start));
        EXPECT_FALSE(gateOf(controller, "a")->draining);
    });
    test::section("a backend server that announces no start time is accepted again once the departure has expired", [&] {
        Announcement plain = announcementOf("c", 0, 0);
        plain.endpoint.port = 9000;
        EXPECT_TRUE(controller.announce(plain, start));
        EXPECT_EQ(controller.withdraw({"c"}, start), LeaveEffect::Left);
        EXPECT_EQ(controller.announce(plain, after(retention - milliseconds(1))).error(), AnnounceError::Stale);
        EXPECT_TRUE(controller.announce(plain, after(retention)));
    });
}

TEST(LocalBackends, ReplaceAnEarlierProcessAtTheSameAddress)
{
    LocalBackendController controller;
    ASSERT_TRUE(controller.announce(announcementOf("old", 100, 5), start));
    const auto oldGate = gateOf(controller, "old");
    ASSERT_TRUE(controller.announce(announcementOf("new", 200, 1), start));
    EXPECT_FALSE(known(controller, "old"));
    EXPECT_TRUE(oldGate->draining);
    EXPECT_TRUE(known(controller, "new"));
    test::section("a restarted process with the same id starts with empty slots", [&] {
        gateOf(controller, "new")->running = 7;
        ASSERT_TRUE(controller.announce(announcementOf("new", 300, 1), start));
        EXPECT_EQ(gateOf(controller, "new")->running, 0);
    });
}

TEST(LocalBackends, NotifyTheListenerOnlyOfChanges)
{
    LocalBackendController controller;
    int notifications = 0;
    controller.onChange([&notifications] { ++notifications; });
    for (int i = 1; i <= 10; ++i) {
        ASSERT_TRUE(controller.announce(announcementOf("a", 100, i), start));
    }
    EXPECT_EQ(notifications, 1);
    test::section("a repeated announcement keeps the adapted limit of the gate", [&] {
        gateOf(controller, "a")->limit = 9;
        ASSERT_TRUE(controller.announce(announcementOf("a", 100, 11), start));
        EXPECT_EQ(gateOf(controller, "a")->limit, 9);
    });
    ASSERT_TRUE(controller.announce(announcementOf("a", 100, 12, BackendStatus::Draining), start));
    EXPECT_EQ(notifications, 2);
}

TEST(LocalBackends, AreRemovedWhenTheyStopAnnouncing)
{
    LocalBackendController controller;
    ASSERT_TRUE(controller.announce(announcementOf("a", 100, 1), start));
    Announcement other = announcementOf("b", 100, 1);
    other.endpoint.port = 9000;
    ASSERT_TRUE(controller.announce(other, after(seconds(10))));
    const auto gate = gateOf(controller, "a");
    EXPECT_EQ(controller.forgetSilent(after(seconds(5)).at), std::vector<BackendId>{{"a"}});
    EXPECT_TRUE(gate->draining);
    EXPECT_TRUE(known(controller, "b"));
}

TEST(LocalBackends, CanBeDrainedAndWithdrawnBeforeTheirNodeKnowsThem)
{
    const std::int64_t bornBefore = startTimeOfDay - 33'000;
    test::section("after a withdrawal, a late announcement of a process that started earlier is refused", [&] {
        LocalBackendController controller;
        EXPECT_EQ(controller.withdraw({"a"}, start), LeaveEffect::Remembered);
        EXPECT_EQ(controller.announce(announcementOf("a", bornBefore, 22), after(milliseconds(2250))).error(), AnnounceError::Stale);
        EXPECT_FALSE(known(controller, "a"));
    });
    test::section("after a drain, a late announcement is accepted as draining", [&] {
        LocalBackendController controller;
        EXPECT_EQ(controller.drain({"a"}, start), LeaveEffect::Remembered);
        EXPECT_TRUE(controller.announce(announcementOf("a", bornBefore, 22), after(milliseconds(2250))));
        EXPECT_TRUE(gateOf(controller, "a")->draining);
        EXPECT_EQ(controller.current()->backends.at({"a"}).record.status, BackendStatus::Draining);
    });
    test::section("after a drain and a withdrawal, late announcements are refused", [&] {
        LocalBackendController controller;
        controller.drain({"a"}, start);
        ASSERT_TRUE(controller.announce(announcementOf("a", bornBefore, 22), after(seconds(1))));
        EXPECT_EQ(controller.withdraw({"a"}, after(seconds(2))), LeaveEffect::Left);
        EXPECT_EQ(controller.announce(announcementOf("a", bornBefore, 23), after(seconds(3))).error(), AnnounceError::Stale);
    });
    test::section("a process with the same id that started later is accepted", [&] {
        LocalBackendController controller;
        controller.withdraw({"a"}, start);
        EXPECT_TRUE(controller.announce(announcementOf("a", startTimeOfDay + 1, 1), after(seconds(2))));
        EXPECT_FALSE(gateOf(controller, "a")->draining);
        EXPECT_EQ(controller.announce(announcementOf("a", bornBefore, 23), after(seconds(3))).error(), AnnounceError::Stale);
    });
    test::section("an announcement without a start time is refused until the departure has expired", [&] {
        LocalBackendController controller;
        controller.withdraw({"a"}, start);
        EXPECT_EQ(controller.announce(announcementOf("a", 0, 1), after(retention - milliseconds(1))).error(), AnnounceError::Stale);
        EXPECT_TRUE(controller.announce(announcementOf("a", 0, 2), after(retention)));
    });
}

TEST(LocalBackends, StayWithdrawnWhenTheWallClockSteps)
{
    const std::int64_t bornBefore = startTimeOfDay - 20'000;
    for (const milliseconds step : {milliseconds(-5000), milliseconds(5000)}) {
        test::section("a step of " + std::to_string(step.count()) + " ms after the withdrawal doesn't restore an earlier process", [&] {
            LocalBackendController controller;
            controller.withdraw({"a"}, start);
            EXPECT_EQ(controller.announce(announcementOf("a", bornBefore, 14), after(seconds(2), step)).error(), AnnounceError::Stale);
        });
        test::section("nor does such a step between the start of that process and the withdrawal", [&] {
            LocalBackendController controller;
            controller.withdraw({"a"}, after(milliseconds(0), step));
            EXPECT_EQ(controller.announce(announcementOf("a", bornBefore, 14), after(seconds(2), step)).error(), AnnounceError::Stale);
        });
    }
    test::section("a later process that seems older because the clock went back is accepted once the departure has expired", [&] {
        LocalBackendController controller;
        controller.withdraw({"a"}, start);
        const Announcement later = announcementOf("a", startTimeOfDay + 1000 - 5000, 1);
        EXPECT_EQ(controller.announce(later, after(seconds(2), seconds(-5))).error(), AnnounceError::Stale);
        EXPECT_TRUE(controller.announce(later, after(retention, seconds(-5))));
    });
    test::section("a process that the node knew is identified by its start time, whatever the clock says at the withdrawal", [&] {
        LocalBackendController controller;
        ASSERT_TRUE(controller.announce(announcementOf("a", startTimeOfDay, 1), start));
        controller.withdraw({"a"}, after(seconds(2), seconds(5)));
        EXPECT_TRUE(controller.announce(announcementOf("a", startTimeOfDay + 4000, 1), after(seconds(4))));
    });
}

TEST(LocalBackends, StayDrainingUntilTheProcessEnds)
{
    LocalBackendController controller;
    ASSERT_TRUE(controller.announce(announcementOf("a", 100, 5), start));
    test::section("an announcement with a later sequence number that was sent before the drain doesn't undo it", [&] {
        EXPECT_EQ(controller.drain({"a"}, start), LeaveEffect::Left);
        EXPECT_TRUE(controller.announce(announcementOf("a", 100, 6), after(seconds(1))));
        EXPECT_TRUE(gateOf(controller, "a")->draining);
    });
    test::section("the next process serves", [&] {
        EXPECT_TRUE(controller.announce(announcementOf("a", 200, 1), after(seconds(2))));
        EXPECT_FALSE(gateOf(controller, "a")->draining);
    });
    test::section("a drain announced by the backend server itself can't be undone either", [&] {
        ASSERT_TRUE(controller.announce(announcementOf("a", 200, 2, BackendStatus::Draining), after(seconds(3))));
        EXPECT_TRUE(controller.announce(announcementOf("a", 200, 3), after(seconds(4))));
        EXPECT_TRUE(gateOf(controller, "a")->draining);
    });
}

TEST(LocalBackends, ApplyDeparturesOfAnEarlierProcessOfTheNode)
{
    const std::int64_t born = startTimeOfDay - 20'000;
    LocalBackendController earlier;
    ASSERT_TRUE(earlier.announce(announcementOf("a", born, 14), start));
    earlier.withdraw({"a"}, start);
    const std::vector<Departure> departures = earlier.departures(start.at);
    test::section("received before the late announcement, they make the next process refuse it", [&] {
        LocalBackendController next;
        next.applyDepartures(departures, after(seconds(1)).at);
        EXPECT_EQ(next.announce(announcementOf("a", born, 13), after(seconds(2))).error(), AnnounceError::Stale);
    });
    test::section("received after it, they make the next process remove the backend server and notify its listener", [&] {
        LocalBackendController next;
        int changes = 0;
        next.onChange([&changes] { ++changes; });
        ASSERT_TRUE(next.announce(announcementOf("a", born, 13), after(seconds(1))));
        const auto gate = gateOf(next, "a");
        next.applyDepartures(departures, after(seconds(2)).at);
        EXPECT_FALSE(known(next, "a"));
        EXPECT_TRUE(gate->draining);
        EXPECT_EQ(changes, 2);
    });
    test::section("received again, they change nothing and don't extend the retention", [&] {
        LocalBackendController next;
        int changes = 0;
        next.onChange([&changes] { ++changes; });
        next.applyDepartures(departures, start.at);
        next.applyDepartures(departures, after(retention / 2).at);
        EXPECT_EQ(changes, 1);
        EXPECT_TRUE(next.departures(after(retention).at).empty());
    });
    test::section("a later process of the backend server is accepted", [&] {
        LocalBackendController next;
        next.applyDepartures(departures, after(seconds(1)).at);
        EXPECT_TRUE(next.announce(announcementOf("a", born + 1, 1), after(seconds(2))));
        next.applyDepartures(departures, after(seconds(3)).at);
        EXPECT_FALSE(gateOf(next, "a")->draining);
    });
    test::section("a drain applies to the next process too", [&] {
        LocalBackendController draining;
        ASSERT_TRUE(draining.announce(announcementOf("b", born, 14, BackendStatus::Draining), start));
        LocalBackendController next;
        next.applyDepartures(draining.departures(start.at), after(seconds(1)).at);
        EXPECT_TRUE(next.announce(announcementOf("b", born, 13), after(seconds(2))));
        EXPECT_TRUE(gateOf(next, "b")->draining);
    });
}

TEST(LocalBackends, AtAReusedAddressAreToldApartByANodeThatHasJustStarted)
{
    test::section("when the late announcement of the earlier one arrives first, the current one replaces it at once", [&] {
        LocalBackendController controller;
        ASSERT_TRUE(controller.announce(announcementOf("earlier", 100, 9), start));
        ASSERT_TRUE(controller.announce(announcementOf("current", 200, 2), after(seconds(1))));
        EXPECT_FALSE(known(controller, "earlier"));
    });
    test::section("when it arrives second, it is refused", [&] {
        LocalBackendController controller;
        ASSERT_TRUE(controller.announce(announcementOf("current", 200, 2), start));
        EXPECT_EQ(controller.announce(announcementOf("earlier", 100, 9), after(seconds(1))).error(), AnnounceError::Stale);
        EXPECT_TRUE(known(controller, "current"));
    });
    test::section("with a reused id, the current process gets a new gate even if the earlier one is announced first", [&] {
        LocalBackendController controller;
        ASSERT_TRUE(controller.announce(announcementOf("a", 100, 40), start));
        const auto earlier = gateOf(controller, "a");
        ASSERT_TRUE(controller.announce(announcementOf("a", 200, 1), after(seconds(1))));
        EXPECT_NE(gateOf(controller, "a"), earlier);
        EXPECT_EQ(controller.announce(announcementOf("a", 100, 41), after(seconds(2))).error(), AnnounceError::Stale);
    });
}

/// Guards against new work for a backend server whose answers say that it leaves while its announcements say that it serves.
TEST(LocalBackends, ThatSayInAnAnswerThatTheyLeaveStayDraining)
{
    LocalBackendController controller;
    ASSERT_TRUE(controller.announce(announcementOf("a", 100, 1), start));
    gateOf(controller, "a")->saidItLeaves.store(true);
    test::section("the fleet is told, once", [&] {
        const auto leaves = controller.applySaidLeaves(after(milliseconds(50)));
        ASSERT_EQ(leaves.size(), 1U);
        EXPECT_EQ(leaves.front(), (Departure{{"a"}, DepartureStep::Draining, {100}}));
        EXPECT_EQ(controller.current()->backends.at({"a"}).record.status, BackendStatus::Draining);
        EXPECT_TRUE(controller.applySaidLeaves(after(milliseconds(100))).empty());
    });
    test::section("later announcements of the same process don't bring it back, not even after the departure has expired", [&] {
        ASSERT_TRUE(controller.announce(announcementOf("a", 100, 2), after(seconds(1))));
        EXPECT_TRUE(gateOf(controller, "a")->draining);
        ASSERT_TRUE(controller.announce(announcementOf("a", 100, 3), after(retention + seconds(1))));
        EXPECT_TRUE(gateOf(controller, "a")->draining);
        EXPECT_EQ(controller.applySaidLeaves(after(retention + seconds(1))).size(), 1U);
    });
    test::section("a new process of the same id serves", [&] {
        ASSERT_TRUE(controller.announce(announcementOf("a", 200, 1), after(retention + seconds(2))));
        EXPECT_FALSE(gateOf(controller, "a")->draining);
        EXPECT_TRUE(controller.applySaidLeaves(after(retention + seconds(2))).empty());
    });
}

} // namespace agatedoor
