#include "agatedoor/decide/priority_queue.hpp"
#include "support/golden.hpp"
#include "support/story.hpp"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <sstream>

namespace agatedoor {

namespace {

constexpr TimePoint start{std::chrono::seconds(100)};

Waiter waiterOf(std::uint64_t id, PriorityClass priority, Duration longestWait = std::chrono::milliseconds(200))
{
    return {{id}, priority, deadlineAfter(start, longestWait)};
}

/// Runs operations on a queue and records them as text for the golden file.
class QueueSession
{
public:
    void arrive(PriorityClass priority)
    {
        const Waiter waiter = waiterOf(++m_lastId, priority);
        const JoinResult effect = join(m_queue, waiter, m_capacity);
        m_text << "arrives " << describe(waiter) << (effect.joined ? " waits" : " refused");
        if (effect.displaced) {
            m_text << ", displaces " << describe(*effect.displaced);
        }
        m_text << "\n";
    }
    void freeSlot()
    {
        const auto next = grantNext(m_queue);
        m_text << "slot " << (next ? "to " + describe(*next) : "stays free") << "\n";
    }
    std::string text() const { return m_text.str(); }

private:
    static std::string describe(const Waiter &waiter) { return std::string(wireName(waiter.priority)) + "-" + std::to_string(waiter.id.value); }

    PriorityQueue m_queue;
    std::int64_t m_capacity = 12;
    std::uint64_t m_lastId = 0;
    std::ostringstream m_text;
};

} // namespace

TEST(PriorityQueue, GoldenSession)
{
    QueueSession session;
    for (const auto priority : {PriorityClass::Low, PriorityClass::Low, PriorityClass::Normal, PriorityClass::High, PriorityClass::High}) {
        session.arrive(priority);
    }
    session.freeSlot();
    for (int i = 0; i < 10; ++i) {
        session.arrive(PriorityClass::High);
    }
    session.arrive(PriorityClass::Low);
    for (int i = 0; i < 14; ++i) {
        session.freeSlot();
    }
    test::expectGolden("limits_queue.txt", session.text());
}

TEST(PriorityQueue, DisplacesLowerClassesWhenFull)
{
    PriorityQueue queue;
    test::section("the latest arrival of the lowest class is displaced first", [&] {
        join(queue, waiterOf(1, PriorityClass::Low), 3);
        join(queue, waiterOf(2, PriorityClass::Low), 3);
        join(queue, waiterOf(3, PriorityClass::Normal), 3);
        const JoinResult effect = join(queue, waiterOf(4, PriorityClass::High), 3);
        ASSERT_TRUE(effect.displaced);
        EXPECT_EQ(effect.displaced->id.value, 2U);
    });
    test::section("the earliest arrival of the whole queue is never displaced",
                  [&] { EXPECT_EQ(join(queue, waiterOf(5, PriorityClass::High), 3).displaced->id.value, 3U); });
    test::section("a waiter doesn't displace one of its own class", [&] { EXPECT_FALSE(join(queue, waiterOf(6, PriorityClass::High), 3).joined); });
    test::section("a waiter is removed when its time has passed", [&] {
        join(queue, waiterOf(7, PriorityClass::High, std::chrono::milliseconds(1)), 9);
        const auto removed = removeExpired(queue, start + std::chrono::milliseconds(1));
        ASSERT_EQ(removed.size(), 1U);
        EXPECT_EQ(removed.front().id.value, 7U);
    });
}

RC_GTEST_PROP(PriorityQueue, EachWaiterGetsASlotWithinTheDocumentedNumberOfGrants, ())
{
    constexpr std::int64_t capacity = 24;
    PriorityQueue queue;
    std::map<std::uint64_t, std::uint64_t> latestGrant; // Greatest value of queue.grants by which each waiter must have a slot, by waiter id.
    std::uint64_t lastId = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 5));
    for (const int step : steps) {
        if (step < priorityClassCount) {
            const Waiter waiter = waiterOf(++lastId, static_cast<PriorityClass>(step));
            const auto earlier = static_cast<std::uint64_t>(waiterCount(queue));
            const JoinResult effect = join(queue, waiter, capacity);
            if (effect.displaced) {
                RC_ASSERT(effect.displaced->priority < waiter.priority);
                latestGrant.erase(effect.displaced->id.value);
            }
            if (effect.joined) {
                latestGrant[lastId] = queue.grants + agingInterval * (earlier + 1);
            }
        } else if (const auto next = grantNext(queue)) {
            RC_ASSERT(latestGrant.contains(next->id.value));
            RC_ASSERT(queue.grants <= latestGrant.at(next->id.value));
            latestGrant.erase(next->id.value);
        }
        RC_ASSERT(waiterCount(queue) <= capacity);
        RC_ASSERT(static_cast<std::size_t>(waiterCount(queue)) == latestGrant.size());
    }
}

} // namespace agatedoor
