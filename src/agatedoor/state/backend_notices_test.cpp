#include "agatedoor/state/backend_notices.hpp"

#include "support/story.hpp"

namespace agatedoor {

namespace {

using std::chrono::seconds;
using test::section;

constexpr TimePoint start{seconds(100)};
const BackendId backend{"b1"};

} // namespace

TEST(BackendNoticeTable, ANoticeHoldsForOneProcess)
{
    BackendNotices notices;
    section("nothing is known at first", [&] { EXPECT_FALSE(notices.find(backend, {7}, start)); });
    section("what it says is found", [&] {
        notices.record(backend, {{7}, false, 12.5}, start);
        EXPECT_EQ(notices.find(backend, {7}, start)->requestLimit, 12.5);
    });
    section("but not for another process of the same id", [&] { EXPECT_FALSE(notices.find(backend, {8}, start)); });
    section("an answer without a limit ends it", [&] {
        notices.record(backend, {{7}, false, 0}, start);
        EXPECT_FALSE(notices.find(backend, {7}, start));
    });
    section("a leave isn't taken back by a late answer", [&] {
        notices.record(backend, {{7}, true, 0}, start);
        notices.record(backend, {{7}, false, 0}, start);
        EXPECT_TRUE(notices.find(backend, {7}, start)->leaving);
    });
    section("a new process starts without", [&] {
        notices.record(backend, {{9}, false, 0}, start);
        EXPECT_FALSE(notices.find(backend, {9}, start));
    });
    section("a notice expires", [&] {
        notices.record(backend, {{9}, true, 0}, start);
        EXPECT_FALSE(notices.find(backend, {9}, start + seconds(61)));
    });
}

} // namespace agatedoor
