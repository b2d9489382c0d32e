#include "agatedoor/membership/local_backends.hpp"

#include "support/story.hpp"

namespace agatedoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t startOfDay = 1'000'000; ///< Time of day at the start, milliseconds.
const Moment start{TimePoint{} + std::chrono::hours(1), {startOfDay}};

/// Both clocks @p time after the start, the time of day ahead by @p step.
Moment after(milliseconds time, milliseconds step = {})
{
    return {start.at + time, {startOfDay + (time + step).count()}};
}

const milliseconds retention = std::chrono::duration_cast<milliseconds>(DepartureOptions{}.retention);

Announcement announcementOf(const std::string &id, std::int64_t born, std::int64_t sequence, BackendStatus status = BackendStatus::Serving)
{
    Announcement announcement;
    announcement.record = {{id}, {"ritarkiv"}, {12}, {260}, status};
    announcement.endpoint = {"10.1.0.8", 8301};
    announcement.life = {{born}, sequence};
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

TEST(LocalBackends, TakeNothingFromALateAnnouncement)
{
    LocalBackendController controller;
    ASSERT_TRUE(controller.announce(announcementOf("a", 100, 5, BackendStatus::Draining), start));
    test::section("one that was overtaken doesn't undo a drain", [&] {
        EXPECT_EQ(controller.announce(announcementOf("a", 100, 4), start).error(), AnnounceError::Stale);
        EXPECT_TRUE(gateOf(controller, "a")->draining);
    });
    test::section("one of an earlier life at the same address doesn't replace a later one", [&] {
        EXPECT_EQ(controller.announce(announcementOf("b", 90, 9), start).error(), AnnounceError::Stale);
        EXPECT_FALSE(known(controller, "b"));
    });
    test::section("after a withdrawal the same life stays gone, a new one under the same id doesn't", [&] {
        EXPECT_EQ(controller.withdraw({"a"}, start), LeaveEffect::Left);
        EXPECT_EQ(controller.announce(announcementOf("a", 100, 6), start).error(), AnnounceError::Stale);
        EXPECT_FALSE(known(controller, "a"));
        EXPECT_TRUE(controller.announce(announcementOf("a", 200, 1), start));
        EXPECT_FALSE(gateOf(controller, "a")->draining);
    });
    test::section("a backend server that states no life may come back once late announcements have come", [&] {
        Announcement plain = announcementOf("c", 0, 0);
        plain.endpoint.port = 9000;
        EXPECT_TRUE(controller.announce(plain, start));
        EXPECT_EQ(controller.withdraw({"c"}, start), LeaveEffect::Left);
        EXPECT_EQ(controller.announce(plain, after(retention - milliseconds(1))).error(), AnnounceError::Stale);
        EXPECT_TRUE(controller.announce(plain, after(retention)));
    });
}

TEST(LocalBackends, ReplaceWhatEndedAtTheSameAddress)
{
    LocalBackendController controller;
    ASSERT_TRUE(controller.announce(announcementOf("old", 100, 5), start));
    const auto oldGate = gateOf(controller, "old");
    ASSERT_TRUE(controller.announce(announcementOf("new", 200, 1), start));
    EXPECT_FALSE(known(controller, "old"));
    EXPECT_TRUE(oldGate->draining);
    EXPECT_TRUE(known(controller, "new"));
    test::section("a restart under the same id begins with empty slots", [&] {
        gateOf(controller, "new")->running = 7;
        ASSERT_TRUE(controller.announce(announcementOf("new", 300, 1), start));
        EXPECT_EQ(gateOf(controller, "new")->running, 0);
    });
}

TEST(LocalBackends, TellTheFleetOnlyOfChanges)
{
    LocalBackendController controller;
    int told = 0;
    controller.onChange([&told] { ++told; });
    for (int i = 1; i <= 10; ++i) {
        ASSERT_TRUE(controller.announce(announcementOf("a", 100, i), start));
    }
    EXPECT_EQ(told, 1);
    test::section("a repeated announcement leaves the measured limit", [&] {
        gateOf(controller, "a")->limit = 9;
        ASSERT_TRUE(controller.announce(announcementOf("a", 100, 11), start));
        EXPECT_EQ(gateOf(controller, "a")->limit, 9);
    });
    ASSERT_TRUE(controller.announce(announcementOf("a", 100, 12, BackendStatus::Draining), start));
    EXPECT_EQ(told, 2);
}

TEST(LocalBackends, ForgetThoseThatFellSilent)
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

TEST(LocalBackends, LeaveAlsoWhenTheirNodeDoesNotKnowThemYet)
{
    const std::int64_t bornBefore = startOfDay - 33'000;
    test::section("withdrawn, a life that began before stays gone when its announcement comes late", [&] {
        LocalBackendController controller;
        EXPECT_EQ(controller.withdraw({"a"}, start), LeaveEffect::Remembered);
        EXPECT_EQ(controller.announce(announcementOf("a", bornBefore, 22), after(milliseconds(2250))).error(), AnnounceError::Stale);
        EXPECT_FALSE(known(controller, "a"));
    });
    test::section("drained, it is known but takes no work", [&] {
        LocalBackendController controller;
        EXPECT_EQ(controller.drain({"a"}, start), LeaveEffect::Remembered);
        EXPECT_TRUE(controller.announce(announcementOf("a", bornBefore, 22), after(milliseconds(2250))));
        EXPECT_TRUE(gateOf(controller, "a")->draining);
        EXPECT_EQ(controller.current()->backends.at({"a"}).record.status, BackendStatus::Draining);
    });
    test::section("drained and then withdrawn, it is gone", [&] {
        LocalBackendController controller;
        controller.drain({"a"}, start);
        ASSERT_TRUE(controller.announce(announcementOf("a", bornBefore, 22), after(seconds(1))));
        EXPECT_EQ(controller.withdraw({"a"}, after(seconds(2))), LeaveEffect::Left);
        EXPECT_EQ(controller.announce(announcementOf("a", bornBefore, 23), after(seconds(3))).error(), AnnounceError::Stale);
    });
    test::section("a life that began later is taken under the same id", [&] {
        LocalBackendController controller;
        controller.withdraw({"a"}, start);
        EXPECT_TRUE(controller.announce(announcementOf("a", startOfDay + 1, 1), after(seconds(2))));
        EXPECT_FALSE(gateOf(controller, "a")->draining);
        EXPECT_EQ(controller.announce(announcementOf("a", bornBefore, 23), after(seconds(3))).error(), AnnounceError::Stale);
    });
    test::section("one that doesn't state its start is taken for one that left, until late announcements have come", [&] {
        LocalBackendController controller;
        controller.withdraw({"a"}, start);
        EXPECT_EQ(controller.announce(announcementOf("a", 0, 1), after(retention - milliseconds(1))).error(), AnnounceError::Stale);
        EXPECT_TRUE(controller.announce(announcementOf("a", 0, 2), after(retention)));
    });
}

TEST(LocalBackends, StayGoneWhenTheTimeOfDaySteps)
{
    const std::int64_t bornBefore = startOfDay - 20'000;
    for (const milliseconds step : {milliseconds(-5000), milliseconds(5000)}) {
        test::section("a step of " + std::to_string(step.count()) + " ms after the withdrawal brings no former life back", [&] {
            LocalBackendController controller;
            controller.withdraw({"a"}, start);
            EXPECT_EQ(controller.announce(announcementOf("a", bornBefore, 14), after(seconds(2), step)).error(), AnnounceError::Stale);
        });
        test::section("nor does one between the start of that life and the withdrawal", [&] {
            LocalBackendController controller;
            controller.withdraw({"a"}, after(milliseconds(0), step));
            EXPECT_EQ(controller.announce(announcementOf("a", bornBefore, 14), after(seconds(2), step)).error(), AnnounceError::Stale);
        });
    }
    test::section("a later life that seems older, as the time of day went back, waits no longer than the memory lasts", [&] {
        LocalBackendController controller;
        controller.withdraw({"a"}, start);
        const Announcement later = announcementOf("a", startOfDay + 1000 - 5000, 1);
        EXPECT_EQ(controller.announce(later, after(seconds(2), seconds(-5))).error(), AnnounceError::Stale);
        EXPECT_TRUE(controller.announce(later, after(retention, seconds(-5))));
    });
    test::section("a life that the node knew is told by its start alone, whatever the time of day says at the withdrawal", [&] {
        LocalBackendController controller;
        ASSERT_TRUE(controller.announce(announcementOf("a", startOfDay, 1), start));
        controller.withdraw({"a"}, after(seconds(2), seconds(5)));
        EXPECT_TRUE(controller.announce(announcementOf("a", startOfDay + 4000, 1), after(seconds(4))));
    });
}

TEST(LocalBackends, KeepADrainForTheWholeLife)
{
    LocalBackendController controller;
    ASSERT_TRUE(controller.announce(announcementOf("a", 100, 5), start));
    test::section("an announcement that was sent before the drain and has a later number doesn't undo it", [&] {
        EXPECT_EQ(controller.drain({"a"}, start), LeaveEffect::Left);
        EXPECT_TRUE(controller.announce(announcementOf("a", 100, 6), after(seconds(1))));
        EXPECT_TRUE(gateOf(controller, "a")->draining);
    });
    test::section("the next life serves", [&] {
        EXPECT_TRUE(controller.announce(announcementOf("a", 200, 1), after(seconds(2))));
        EXPECT_FALSE(gateOf(controller, "a")->draining);
    });
    test::section("a drain that is announced holds in the same way", [&] {
        ASSERT_TRUE(controller.announce(announcementOf("a", 200, 2, BackendStatus::Draining), after(seconds(3))));
        EXPECT_TRUE(controller.announce(announcementOf("a", 200, 3), after(seconds(4))));
        EXPECT_TRUE(gateOf(controller, "a")->draining);
    });
}

TEST(LocalBackends, OfAFormerProcessBindTheNext)
{
    const std::int64_t born = startOfDay - 20'000;
    LocalBackendController former;
    ASSERT_TRUE(former.announce(announcementOf("a", born, 14), start));
    former.withdraw({"a"}, start);
    const std::vector<Departure> told = former.departures(start.at);
    test::section("told before the late announcement comes, the next process refuses it", [&] {
        LocalBackendController next;
        next.adopt(told, after(seconds(1)).at);
        EXPECT_EQ(next.announce(announcementOf("a", born, 13), after(seconds(2))).error(), AnnounceError::Stale);
    });
    test::section("told after it, the next process takes its work away and tells the fleet", [&] {
        LocalBackendController next;
        int changes = 0;
        next.onChange([&changes] { ++changes; });
        ASSERT_TRUE(next.announce(announcementOf("a", born, 13), after(seconds(1))));
        const auto gate = gateOf(next, "a");
        next.adopt(told, after(seconds(2)).at);
        EXPECT_FALSE(known(next, "a"));
        EXPECT_TRUE(gate->draining);
        EXPECT_EQ(changes, 2);
    });
    test::section("told again, nothing changes and nothing is remembered for longer", [&] {
        LocalBackendController next;
        int changes = 0;
        next.onChange([&changes] { ++changes; });
        next.adopt(told, start.at);
        next.adopt(told, after(retention / 2).at);
        EXPECT_EQ(changes, 1);
        EXPECT_TRUE(next.departures(after(retention).at).empty());
    });
    test::section("a later life is taken", [&] {
        LocalBackendController next;
        next.adopt(told, after(seconds(1)).at);
        EXPECT_TRUE(next.announce(announcementOf("a", born + 1, 1), after(seconds(2))));
        next.adopt(told, after(seconds(3)).at);
        EXPECT_FALSE(gateOf(next, "a")->draining);
    });
    test::section("a drain is kept too", [&] {
        LocalBackendController draining;
        ASSERT_TRUE(draining.announce(announcementOf("b", born, 14, BackendStatus::Draining), start));
        LocalBackendController next;
        next.adopt(draining.departures(start.at), after(seconds(1)).at);
        EXPECT_TRUE(next.announce(announcementOf("b", born, 13), after(seconds(2))));
        EXPECT_TRUE(gateOf(next, "b")->draining);
    });
}

TEST(LocalBackends, OfAnAddressUsedAnewAreToldApartByANodeThatHasJustStarted)
{
    test::section("the former occupant's announcement comes late and first: the present one replaces it at once", [&] {
        LocalBackendController controller;
        ASSERT_TRUE(controller.announce(announcementOf("former", 100, 9), start));
        ASSERT_TRUE(controller.announce(announcementOf("present", 200, 2), after(seconds(1))));
        EXPECT_FALSE(known(controller, "former"));
    });
    test::section("it comes late and second: it changes nothing", [&] {
        LocalBackendController controller;
        ASSERT_TRUE(controller.announce(announcementOf("present", 200, 2), start));
        EXPECT_EQ(controller.announce(announcementOf("former", 100, 9), after(seconds(1))).error(), AnnounceError::Stale);
        EXPECT_TRUE(known(controller, "present"));
    });
    test::section("an id used again: the former life comes late and first, the present one gets a gate of its own", [&] {
        LocalBackendController controller;
        ASSERT_TRUE(controller.announce(announcementOf("a", 100, 40), start));
        const auto former = gateOf(controller, "a");
        ASSERT_TRUE(controller.announce(announcementOf("a", 200, 1), after(seconds(1))));
        EXPECT_NE(gateOf(controller, "a"), former);
        EXPECT_EQ(controller.announce(announcementOf("a", 100, 41), after(seconds(2))).error(), AnnounceError::Stale);
    });
}

} // namespace agatedoor
