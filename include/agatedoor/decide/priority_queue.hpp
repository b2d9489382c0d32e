#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/priority.hpp"
#include "agatedoor/base/time.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

/// @brief Bounded queue of the requests that wait for a slot, by priority class, with aging against starvation.
///
/// Waiters of the highest class are served first, in order of arrival within a class. Every agingInterval-th grant goes to the
/// earliest arrival of all classes. A waiter with N earlier arrivals in the queue therefore gets a slot within the next
/// agingInterval * (N + 1) grants, unless it leaves the queue before.
namespace agatedoor {

/// @brief Identifies a waiting request within its queue; increases in order of arrival.
using WaiterId = Counter<struct WaiterIdTag>;

/// @brief A request that waits for a slot.
struct Waiter
{
    WaiterId id;
    PriorityClass priority = PriorityClass::Normal;
    Deadline latest; ///< Time at which it stops waiting.

    friend bool operator==(const Waiter &, const Waiter &) = default;
};

/// @brief The waiting requests of one backend server.
struct PriorityQueue
{
    std::array<std::deque<Waiter>, priorityClassCount> classes; ///< One queue for each class, in order of arrival.
    std::uint64_t grants = 0; ///< Number of waiters that were given a slot.
};

/// @brief Number of grants after which one goes to the earliest arrival, regardless of its class.
inline constexpr std::uint64_t agingInterval = 8;

/// @brief Result of adding a waiter.
struct JoinResult
{
    bool joined = false; ///< The waiter is in the queue.
    std::optional<Waiter> displaced; ///< Waiter that was removed to make room; its request must be refused.
};

/// @brief Adds @p waiter if the queue holds fewer than @p capacity, or if it can displace another waiter.
/// It displaces the latest arrival of the lowest class, which must be below its own. The earliest arrival of the whole queue is
/// never displaced.
JoinResult join(PriorityQueue &queue, const Waiter &waiter, std::int64_t capacity);

/// @brief Removes and returns the waiter that gets the next slot; none when the queue is empty.
std::optional<Waiter> grantNext(PriorityQueue &queue);

/// @brief Removes a waiter that gave up; false when it isn't in the queue.
bool removeWaiter(PriorityQueue &queue, const Waiter &waiter);

/// @brief Removes and returns the waiters that have waited until their latest time.
std::vector<Waiter> removeExpired(PriorityQueue &queue, TimePoint now);

/// @brief Number of waiters.
std::int64_t waiterCount(const PriorityQueue &queue);

/// @brief Number of waiters that would be served before a new one of class @p priority.
std::int64_t waitersAhead(const PriorityQueue &queue, PriorityClass priority);

} // namespace agatedoor
