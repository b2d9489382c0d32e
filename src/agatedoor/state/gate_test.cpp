#include "agatedoor/state/gate.hpp"
#include "support/story.hpp"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <barrier>
#include <condition_variable>
#include <thread>

namespace agatedoor {

namespace {

constexpr TimePoint start{std::chrono::seconds(100)};

std::shared_ptr<Ticket> ticketWithoutWakeUp()
{
    auto ticket = std::make_shared<Ticket>();
    ticket->wake = [] {};
    return ticket;
}

AdmissionDecision requestSlot(Gate &gate, const std::shared_ptr<Ticket> &ticket, PriorityClass priority, Duration timeout, TimePoint now)
{
    return acquireSlot(gate, {priority, deadlineAfter(now, timeout)}, AdmissionOptions{}, ticket, now);
}

AdmissionDecision requestSlot(Gate &gate, const std::shared_ptr<Ticket> &ticket, PriorityClass priority = PriorityClass::Normal)
{
    return requestSlot(gate, ticket, priority, std::chrono::seconds(1), start);
}

/// Drives one gate with arrivals, releases and passing time, in virtual time, and tracks the state it should have.
class GateModel
{
public:
    explicit GateModel(std::int64_t slots)
        : m_gate(Slots{slots})
    {
    }

    void arrive(PriorityClass priority, Duration timeout)
    {
        auto ticket = std::make_shared<Ticket>();
        ticket->wake = [this] { ++m_wakes; };
        const AdmissionDecision decision = requestSlot(m_gate, ticket, priority, timeout, m_now);
        if (decision.verdict == AdmissionVerdict::Run) {
            ++m_running;
        }
        if (decision.verdict == AdmissionVerdict::Wait) {
            m_waiting.push_back(ticket);
        }
        collectEndedWaits();
    }
    void release()
    {
        if (m_running > 0) {
            --m_running;
            releaseSlot(m_gate, m_now);
            collectEndedWaits();
        }
    }
    void advance(Duration time)
    {
        m_now += time;
        for (const auto &ticket : m_waiting) {
            if (expired(ticket->waiter.latest, m_now)) {
                m_running += finishWait(m_gate, *ticket, Reason::DeadlinePassed) == TicketState::Granted ? 1 : 0;
            }
        }
        collectEndedWaits();
    }
    /// Whether the limit holds, no waiter was lost, and no slot is free while requests wait.
    bool invariantsHold() const
    {
        const bool noWaiterLost = m_gate.queued.load() == static_cast<std::int64_t>(m_waiting.size()) && m_gate.queue.tickets.size() == m_waiting.size();
        const bool slotsUsed = m_waiting.empty() || m_running == m_gate.limit.load();
        return m_running <= m_gate.limit.load() && m_gate.running.load() == m_running && noWaiterLost && slotsUsed;
    }
    std::int64_t running() const { return m_running; }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    /// Removes tickets whose wait ended and counts those that were granted a slot.
    void collectEndedWaits()
    {
        for (const auto &ticket : m_waiting) {
            if (ticket->state == TicketState::Granted) {
                ++m_running;
            }
        }
        std::erase_if(m_waiting, [](const auto &ticket) { return ticket->state != TicketState::Waiting; });
    }

    Gate m_gate;
    TimePoint m_now = start;
    std::int64_t m_running = 0;
    std::int64_t m_wakes = 0;
    std::vector<std::shared_ptr<Ticket>> m_waiting;
};

/// A request thread that acquires slots, and waits for them on a condition variable.
class GateUser
{
public:
    /// Acquires and releases one slot; false when it got none. Sets @p limitExceeded when more requests run than slots exist.
    bool useSlot(Gate &gate, PriorityClass priority, std::atomic<std::int64_t> &running, std::atomic<bool> &limitExceeded)
    {
        const auto ticket = std::make_shared<Ticket>();
        ticket->wake = [this] {
            const std::lock_guard lock(m_mutex);
            m_woken = true;
            m_condition.notify_one();
        };
        m_woken = false;
        AdmissionOptions options;
        options.queuePerSlot = 100;
        options.longestWait = std::chrono::seconds(60);
        const AdmissionDecision decision = acquireSlot(gate, {priority, deadlineAfter(Clock::now(), std::chrono::seconds(60))}, options, ticket, Clock::now());
        if (decision.verdict == AdmissionVerdict::Refuse || (decision.verdict == AdmissionVerdict::Wait && !granted(gate, *ticket))) {
            return false;
        }
        limitExceeded = limitExceeded || ++running > gate.announced.load();
        std::this_thread::yield();
        --running;
        releaseSlot(gate, Clock::now());
        return true;
    }

private:
    bool granted(Gate &gate, Ticket &ticket)
    {
        {
            std::unique_lock lock(m_mutex);
            if (!m_condition.wait_for(lock, std::chrono::seconds(5), [this] { return m_woken; })) {
                return false;
            }
        }
        return finishWait(gate, ticket, Reason::QueueFull) == TicketState::Granted;
    }

    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_woken = false;
};

} // namespace

/// Hedges beside requests that have no other attempt.
TEST(Gate, ARequestThatMayNotWaitDisplacesNobody)
{
    Gate gate(Slots{1});
    AdmissionRequest spare{PriorityClass::High, deadlineAfter(start, std::chrono::seconds(1))};
    spare.mayWait = false;
    const auto acquireSpare = [&] { return acquireSlot(gate, spare, AdmissionOptions{}, ticketWithoutWakeUp(), start); };
    test::section("it takes a free slot", [&] {
        EXPECT_EQ(acquireSpare().verdict, AdmissionVerdict::Run);
        releaseSlot(gate, start);
    });
    test::section("it is refused when all are in use, and leaves the waiters alone", [&] {
        EXPECT_EQ(requestSlot(gate, ticketWithoutWakeUp()).verdict, AdmissionVerdict::Run);
        std::vector<std::shared_ptr<Ticket>> waiters;
        for (int i = 0; i < 2; ++i) {
            waiters.push_back(ticketWithoutWakeUp());
            EXPECT_EQ(requestSlot(gate, waiters.back(), PriorityClass::Low).verdict, AdmissionVerdict::Wait);
        }
        EXPECT_EQ(acquireSpare().reason, Reason::NoFreeSlot);
        EXPECT_EQ(gate.queued.load(), 2);
        EXPECT_EQ(waiters.front()->state, TicketState::Waiting);
        EXPECT_EQ(waiters.back()->state, TicketState::Waiting);
    });
    test::section("a freed slot goes to a waiter and not to it", [&] {
        releaseSlot(gate, start);
        EXPECT_EQ(acquireSpare().reason, Reason::NoFreeSlot);
        EXPECT_EQ(gate.queued.load(), 1);
    });
}

TEST(Gate, GrantsReleasedSlotsToWaiters)
{
    Gate gate(Slots{1});
    const auto low = ticketWithoutWakeUp();
    const auto high = ticketWithoutWakeUp();
    EXPECT_EQ(requestSlot(gate, ticketWithoutWakeUp()).verdict, AdmissionVerdict::Run);
    EXPECT_EQ(requestSlot(gate, low, PriorityClass::Low).verdict, AdmissionVerdict::Wait);
    EXPECT_EQ(requestSlot(gate, high, PriorityClass::High).verdict, AdmissionVerdict::Wait);
    test::section("the higher priority class is granted the slot first", [&] {
        releaseSlot(gate, start);
        EXPECT_EQ(finishWait(gate, *high, Reason::QueueFull), TicketState::Granted);
        EXPECT_EQ(low->state, TicketState::Waiting);
    });
    test::section("a waiter that gives up holds no slot and leaves the queue", [&] {
        EXPECT_EQ(finishWait(gate, *low, Reason::CallerGone), TicketState::Refused);
        EXPECT_EQ(gate.queued.load(), 0);
        EXPECT_EQ(gate.refusals.at(static_cast<std::size_t>(Reason::CallerGone)).load(), 1U);
    });
    test::section("draining refuses the queued requests", [&] {
        const auto waiting = ticketWithoutWakeUp();
        EXPECT_EQ(requestSlot(gate, waiting).verdict, AdmissionVerdict::Wait);
        gate.draining.store(true);
        releaseSlot(gate, start);
        EXPECT_EQ(finishWait(gate, *waiting, Reason::QueueFull), TicketState::Refused);
        EXPECT_EQ(waiting->reason, Reason::BackendDraining);
        EXPECT_EQ(gate.running.load(), 0);
    });
}

TEST(Gate, IsDownAfterConsecutiveFailedConnects)
{
    Gate gate(Slots{1});
    recordConnect(gate, false);
    recordConnect(gate, false);
    EXPECT_FALSE(gate.down.load());
    recordConnect(gate, false);
    EXPECT_TRUE(gate.down.load());
    recordConnect(gate, true);
    EXPECT_FALSE(gate.down.load());
}

RC_GTEST_PROP(Gate, KeepsItsLimitAndLosesNoWaiter, ())
{
    GateModel model(*rc::gen::inRange<std::int64_t>(1, 6));
    const auto steps = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 8));
    for (const int step : steps) {
        if (step < 4) {
            model.arrive(static_cast<PriorityClass>(step % priorityClassCount), std::chrono::milliseconds(*rc::gen::inRange(0, 400)));
        } else if (step < 7) {
            model.release();
        } else {
            model.advance(std::chrono::milliseconds(*rc::gen::inRange(1, 80)));
        }
        RC_ASSERT(model.invariantsHold());
    }
    while (model.running() > 0) {
        model.release();
        RC_ASSERT(model.invariantsHold());
    }
    RC_ASSERT(model.waiting() == 0U);
}

/// Guards against a lost wake-up, where a queued request is never told of its slot, when many threads compete for slots.
TEST(Gate, ThreadsLoseNoWakeUp)
{
    constexpr int threadCount = 6;
    constexpr int rounds = 2000;
    Gate gate(Slots{2});
    std::atomic<std::int64_t> running{0};
    std::atomic<std::int64_t> served{0};
    std::atomic<bool> limitExceeded{false};
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int i = 0; i < threadCount; ++i) {
        threads.emplace_back([&, i] {
            GateUser user;
            for (int round = 0; round < rounds; ++round) {
                served += user.useSlot(gate, static_cast<PriorityClass>((i + round) % priorityClassCount), running, limitExceeded) ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    EXPECT_FALSE(limitExceeded);
    EXPECT_EQ(served, threadCount * rounds);
    EXPECT_EQ(gate.running.load(), 0);
    EXPECT_EQ(gate.queued.load(), 0);
}

/// Guards against a slot that is released between a joining thread's check of the slots and its entry into the queue:
/// if neither thread saw the other, the request would wait beside a free slot.
TEST(Gate, SlotReleasedDuringAJoinIsNotMissed)
{
    constexpr int rounds = 20'000;
    Gate gate(Slots{1});
    std::atomic<std::int64_t> running{0};
    std::atomic<std::int64_t> served{0};
    std::atomic<bool> limitExceeded{false};
    std::barrier roundBarrier(2);
    std::thread joining([&] {
        GateUser user;
        for (int round = 0; round < rounds; ++round) {
            roundBarrier.arrive_and_wait();
            served += user.useSlot(gate, PriorityClass::Normal, running, limitExceeded) ? 1 : 0;
            roundBarrier.arrive_and_wait();
        }
    });
    int acquired = 0;
    for (int round = 0; round < rounds; ++round) {
        acquired += tryAcquireSlot(gate) ? 1 : 0;
        roundBarrier.arrive_and_wait();
        releaseSlot(gate, Clock::now());
        roundBarrier.arrive_and_wait();
    }
    joining.join();
    EXPECT_EQ(acquired, rounds);
    EXPECT_EQ(served, rounds);
}

} // namespace agatedoor
