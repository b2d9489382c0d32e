#pragma once

#include "agatedoor/base/priority.hpp"
#include "agatedoor/base/time.hpp"
#include "agatedoor/decide/fair_queue.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

/// @brief Bounded queue of the requests that wait for a slot, by priority class, with aging against starvation.
///
/// Waiters of the highest class are served first; within a class nested calls before new work, and the customers by turns
/// (decide/fair_queue), each one's earliest deadline first. Where no waiter names a customer, that is the order of arrival. Every
/// agingInterval-th grant goes to the earliest arrival of all classes. A waiter with N earlier arrivals in the queue therefore
/// gets a slot within the next agingInterval * (N + 1) grants, unless it leaves the queue before.
namespace agatedoor {

/// @brief The waiting requests of one class.
struct ClassQueue
{
    FairQueue nested; ///< Calls of requests that already run: until they are served, those hold their slots for nothing.
    FairQueue fresh; ///< All others.
    int nestedInARow = 0; ///< Nested calls that were served since new work was.
};

/// @brief The waiting requests of one backend server.
struct PriorityQueue
{
    std::array<ClassQueue, priorityClassCount> classes; ///< One queue for each class.
    std::uint64_t grants = 0; ///< Number of waiters that were given a slot.
};

/// @brief Number of grants after which one goes to the earliest arrival, regardless of its class.
inline constexpr std::uint64_t agingInterval = 8;

/// @brief Number of nested calls after which new work of their class has a turn. Callers of routes that need no key can't always
/// be told from backend servers, and must not keep out all others.
inline constexpr int maxNestedInARow = 3;

/// @brief Result of adding a waiter.
struct JoinResult
{
    bool joined = false; ///< The waiter is in the queue.
    std::optional<Waiter> displaced; ///< Waiter that was removed to make room; its request must be refused.
};

/// @brief Adds @p waiter if the queue holds fewer than @p capacity, or if it can displace another waiter: one of the lowest class
/// below its own, else new work of its class by a nested call, else one of a customer that has more work in the queue than the
/// waiter's would have. Among those, it displaces the one that is served last of the customer with most queued work. The earliest
/// arrival of the whole queue is never displaced.
JoinResult join(PriorityQueue &queue, const Waiter &waiter, std::int64_t capacity);

/// @brief Removes and returns the waiter that gets the next slot; none when the queue is empty.
std::optional<Waiter> grantNext(PriorityQueue &queue);

/// @brief Removes a waiter that gave up; false when it isn't in the queue.
bool removeWaiter(PriorityQueue &queue, const Waiter &waiter);

/// @brief Removes and returns the waiters that have waited until their latest time.
std::vector<Waiter> removeExpired(PriorityQueue &queue, TimePoint now);

/// @brief Number of waiters.
std::int64_t waiterCount(const PriorityQueue &queue);

/// @brief Number of waiters that would be served before @p waiter, which isn't in the queue yet.
std::int64_t waitersAhead(const PriorityQueue &queue, const Waiter &waiter);

} // namespace agatedoor
