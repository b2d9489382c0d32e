#include "peer_inbox.hpp"

#include "support/story.hpp"

#include <thread>

namespace agatedoor {

namespace {

constexpr std::chrono::seconds patience{10};
constexpr std::size_t capacity = 4096; ///< Messages.

} // namespace

TEST(PeerInbox, HandsOverWhatOtherThreadsLeaveThere)
{
    PeerInbox inbox;
    test::section("without work the wait ends in time, and there is nothing to do", [&] {
        const PeerWork work = inbox.wait(std::chrono::milliseconds(1));
        EXPECT_TRUE(work.messages.empty());
        EXPECT_FALSE(work.recordChanged);
        EXPECT_FALSE(work.stop);
    });
    test::section("messages come in their order, once, together with the news", [&] {
        inbox.add("a");
        inbox.add("b");
        inbox.noteRecordChanged();
        const PeerWork work = inbox.wait(patience);
        EXPECT_EQ(work.messages, (std::deque<std::string>{"a", "b"}));
        EXPECT_TRUE(work.recordChanged);
        const PeerWork next = inbox.wait(std::chrono::milliseconds(1));
        EXPECT_TRUE(next.messages.empty());
        EXPECT_FALSE(next.recordChanged);
    });
    test::section("a thread that waits is woken without a message, once", [&] {
        std::jthread other([&inbox] { inbox.wake(); });
        const TimePoint before = Clock::now();
        EXPECT_TRUE(inbox.wait(patience).messages.empty());
        EXPECT_LT(Clock::now() - before, patience);
    });
    test::section("the oldest messages are dropped and counted when it is full", [&] {
        for (std::size_t i = 0; i < capacity + 2; ++i) {
            inbox.add(std::to_string(i));
        }
        const PeerWork work = inbox.wait(patience);
        EXPECT_EQ(work.messages.size(), capacity);
        EXPECT_EQ(work.messages.front(), "2");
        EXPECT_EQ(inbox.dropped(), 2U);
    });
    test::section("a stop is told in every wait from then on", [&] {
        inbox.stop();
        EXPECT_TRUE(inbox.wait(patience).stop);
        EXPECT_TRUE(inbox.wait(patience).stop);
    });
}

} // namespace agatedoor
