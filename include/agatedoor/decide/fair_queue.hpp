#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/priority.hpp"
#include "agatedoor/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

/// @brief Order of the waiting requests of one priority class among customers: start-time fair queueing.
///
/// Answers the pattern of a hot customer, which sends many times its usual requests: it waits behind itself, not in front of the
/// others. Each customer has a virtual time at which its next request starts, and each grant moves it on by the expected service
/// time of the request; the customer with the least goes next. So customers that wait get equal shares of service time, and not of
/// requests. A customer that comes back starts where the others are: time without a request gives no credit.
namespace agatedoor {

/// @brief Identifies a waiting request within its queue; increases in order of arrival.
using WaiterId = Counter<struct WaiterIdTag>;

/// @brief A request that waits for a slot.
struct Waiter
{
    WaiterId id;
    PriorityClass priority = PriorityClass::Normal;
    Deadline latest; ///< Time at which it stops waiting.
    CustomerName customer = {}; ///< Empty when the request names none.
    Deadline deadline = {}; ///< Orders the requests of one customer; unset for order of arrival.
    Duration work = std::chrono::microseconds(1); ///< Expected service time.
    bool nested = false; ///< A call of a request that already runs.

    friend bool operator==(const Waiter &, const Waiter &) = default;
};

/// @brief The waiting requests of one customer.
struct CustomerWaiters
{
    std::map<std::pair<Deadline, WaiterId>, Waiter> waiters; ///< In the order in which they are served.
    Duration start{0}; ///< Virtual time at which the first of them starts.
    Duration work{0}; ///< Sum of their expected service times.
};

/// @brief The waiting requests of all customers in one class.
struct FairQueue
{
    std::map<CustomerName, CustomerWaiters> customers; ///< Those that wait, and those that were served beyond the virtual time.
    Duration virtualTime{0}; ///< Virtual start of the last request that was served in turn.
    std::int64_t count = 0; ///< Number of waiters.
};

/// @brief Adds @p waiter.
void add(FairQueue &queue, const Waiter &waiter);

/// @brief Removes and returns the waiter whose turn it is, and charges its work to its customer; none when there is no waiter.
std::optional<Waiter> takeNext(FairQueue &queue);

/// @brief Removes a waiter that is served out of turn, and charges its work to its customer.
void takeOutOfTurn(FairQueue &queue, const Waiter &waiter);

/// @brief Removes a waiter that isn't served; false when it isn't in the queue.
bool drop(FairQueue &queue, const Waiter &waiter);

/// @brief Earliest arrival; null when there is no waiter.
const Waiter *earliestArrival(const FairQueue &queue);

/// @brief The waiter that is served last of the customer with most queued work; null when there is none. Passes over @p kept.
const Waiter *lastOfHeaviest(const FairQueue &queue, std::optional<WaiterId> kept);

/// @brief Expected service time of all waiters of @p customer.
Duration queuedWork(const FairQueue &queue, const CustomerName &customer);

/// @brief Number of waiters that would be served before @p waiter, which isn't in the queue yet.
std::int64_t countAhead(const FairQueue &queue, const Waiter &waiter);

} // namespace agatedoor
