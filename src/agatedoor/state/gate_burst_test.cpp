#include "agatedoor/base/random.hpp"
#include "agatedoor/state/gate.hpp"
#include "support/story.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <queue>
#include <vector>

namespace agatedoor {

namespace {

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr Duration requestTimeout = std::chrono::seconds(1);

/// Requests of one priority class that arrive at random.
struct Arrivals
{
    PriorityClass priority = PriorityClass::Normal;
    int count = 0;
    double rate = 0; ///< Requests a second.
};

/// Times at which no request reaches the gate; all that were sent meanwhile arrive at the end, as after a stalled network or VM.
struct Stalls
{
    Duration period{0};
    Duration length{0}; ///< At the start of each period.
};

struct Arrival
{
    TimePoint at;
    PriorityClass priority = PriorityClass::Normal;
};

TimePoint afterStall(TimePoint sentAt, const Stalls &stalls)
{
    const Duration intoPeriod = (sentAt - start) % stalls.period;
    return intoPeriod < stalls.length ? sentAt - intoPeriod + stalls.length : sentAt;
}

std::vector<Arrival> arrivalsOf(const std::vector<Arrivals> &groups, const Stalls &stalls, std::uint64_t seed)
{
    Random random{seed};
    std::vector<Arrival> arrivals;
    for (const auto &group : groups) {
        TimePoint sentAt = start;
        for (int i = 0; i < group.count; ++i) {
            const double gap = -std::log(1.0 - uniformUnit(random)) / group.rate;
            sentAt += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
            arrivals.push_back({afterStall(sentAt, stalls), group.priority});
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    return arrivals;
}

/// A backend server behind its gate, in virtual time. Each request takes the same time.
class ServedGate
{
public:
    ServedGate(Slots slots, Duration serviceTime)
        : m_gate(slots)
        , m_serviceTime(serviceTime)
    {
        m_gate.serviceTimeNs.store(std::chrono::nanoseconds(serviceTime).count());
    }

    void serve(const std::vector<Arrival> &arrivals)
    {
        for (const auto &arrival : arrivals) {
            arrive(arrival);
        }
        finishUntil(TimePoint::max());
    }

    int served(PriorityClass priority) const { return m_served.at(static_cast<std::size_t>(priority)); }
    Duration longestWait() const { return std::chrono::nanoseconds(m_gate.longestWaitNs.load()); }

private:
    void arrive(const Arrival &arrival)
    {
        finishUntil(arrival.at);
        auto ticket = std::make_shared<Ticket>();
        ticket->wake = [] {};
        const AdmissionRequest request{arrival.priority, deadlineAfter(arrival.at, requestTimeout)};
        const AdmissionDecision decision = acquireSlot(m_gate, request, AdmissionOptions{}, ticket, arrival.at);
        if (decision.verdict == AdmissionVerdict::Run) {
            run(arrival.priority, arrival.at);
        }
        if (decision.verdict == AdmissionVerdict::Wait) {
            m_waiting.push_back(ticket);
        }
        collectEndedWaits(arrival.at);
    }
    void run(PriorityClass priority, TimePoint now)
    {
        m_ends.push(now + m_serviceTime);
        ++m_served.at(static_cast<std::size_t>(priority));
    }
    void finishUntil(TimePoint now)
    {
        while (!m_ends.empty() && m_ends.top() <= now) {
            const TimePoint end = m_ends.top();
            m_ends.pop();
            releaseSlot(m_gate, end);
            collectEndedWaits(end);
        }
    }
    void collectEndedWaits(TimePoint now)
    {
        for (const auto &ticket : m_waiting) {
            if (ticket->state == TicketState::Granted) {
                run(ticket->waiter.priority, now);
            }
        }
        std::erase_if(m_waiting, [](const auto &ticket) { return ticket->state != TicketState::Waiting; });
    }

    Gate m_gate;
    Duration m_serviceTime;
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> m_ends;
    std::vector<std::shared_ptr<Ticket>> m_waiting;
    std::array<int, priorityClassCount> m_served{};
};

} // namespace

/// Half of what the backend server can do is urgent, and the rest would fill it once more.
TEST(GateBursts, UrgentRequestsCompleteUnderOverload)
{
    const std::vector<Arrivals> load{{PriorityClass::High, 400, 200}, {PriorityClass::Normal, 800, 400}};
    constexpr int seeds = 20;
    constexpr int mostMissed = 4; // One in a hundred.
    const auto expectServed = [&](const Stalls &stalls) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            ServedGate gate(Slots{4}, std::chrono::milliseconds(10));
            gate.serve(arrivalsOf(load, stalls, seed));
            EXPECT_GE(gate.served(PriorityClass::High), 400 - mostMissed) << "seed " << seed;
            EXPECT_GT(gate.served(PriorityClass::Normal), 0) << "seed " << seed;
            EXPECT_LE(gate.longestWait(), AdmissionOptions{}.longestWait) << "seed " << seed;
        }
    };
    test::section("when they arrive evenly", [&] { expectServed({std::chrono::milliseconds(500), std::chrono::milliseconds(0)}); });
    test::section("when all that was sent in eighty milliseconds arrives at once", [&] {
        expectServed({std::chrono::milliseconds(500), std::chrono::milliseconds(80)});
    });
}

} // namespace agatedoor
