#include "agatedoor/decide/priority_queue.hpp"

#include <algorithm>
#include <iterator>

namespace agatedoor {

namespace {

using WaiterClass = std::deque<Waiter>;

std::size_t indexOf(PriorityClass priority)
{
    return static_cast<std::size_t>(priority);
}

/// Class with the earliest arrival of the whole queue; null when the queue is empty.
WaiterClass *earliestClass(PriorityQueue &queue)
{
    WaiterClass *earliest = nullptr;
    for (auto &waiters : queue.classes) {
        if (!waiters.empty() && (earliest == nullptr || waiters.front().id < earliest->front().id)) {
            earliest = &waiters;
        }
    }
    return earliest;
}

/// Highest class that has a waiter; null when the queue is empty.
WaiterClass *highestClass(PriorityQueue &queue)
{
    const auto found = std::find_if(queue.classes.rbegin(), queue.classes.rend(), [](const WaiterClass &waiters) { return !waiters.empty(); });
    return found == queue.classes.rend() ? nullptr : &*found;
}

/// Removes the latest arrival of the lowest class below @p priority, to make room; none when there is no such waiter.
std::optional<Waiter> displace(PriorityQueue &queue, PriorityClass priority)
{
    const WaiterClass *earliest = earliestClass(queue);
    for (std::size_t i = 0; i < indexOf(priority); ++i) {
        WaiterClass &waiters = queue.classes.at(i);
        const bool holdsEarliestOnly = &waiters == earliest && waiters.size() == 1;
        if (waiters.empty() || holdsEarliestOnly) {
            continue;
        }
        const Waiter last = waiters.back();
        waiters.pop_back();
        return last;
    }
    return std::nullopt;
}

} // namespace

JoinResult join(PriorityQueue &queue, const Waiter &waiter, std::int64_t capacity)
{
    JoinResult effect;
    if (waiterCount(queue) >= capacity) {
        effect.displaced = displace(queue, waiter.priority);
        if (!effect.displaced) {
            return effect;
        }
    }
    queue.classes.at(indexOf(waiter.priority)).push_back(waiter);
    effect.joined = true;
    return effect;
}

std::optional<Waiter> grantNext(PriorityQueue &queue)
{
    const bool aging = (queue.grants + 1) % agingInterval == 0;
    WaiterClass *waiters = aging ? earliestClass(queue) : highestClass(queue);
    if (waiters == nullptr) {
        return std::nullopt;
    }
    ++queue.grants;
    const Waiter next = waiters->front();
    waiters->pop_front();
    return next;
}

bool removeWaiter(PriorityQueue &queue, const Waiter &waiter)
{
    auto &waiters = queue.classes.at(indexOf(waiter.priority));
    return std::erase_if(waiters, [&waiter](const Waiter &other) { return other.id == waiter.id; }) > 0;
}

std::vector<Waiter> removeExpired(PriorityQueue &queue, TimePoint now)
{
    std::vector<Waiter> removed;
    const auto hasExpired = [now](const Waiter &waiter) { return expired(waiter.latest, now); };
    for (auto &waiters : queue.classes) {
        std::copy_if(waiters.begin(), waiters.end(), std::back_inserter(removed), hasExpired);
        std::erase_if(waiters, hasExpired);
    }
    return removed;
}

std::int64_t waiterCount(const PriorityQueue &queue)
{
    std::size_t count = 0;
    for (const auto &waiters : queue.classes) {
        count += waiters.size();
    }
    return static_cast<std::int64_t>(count);
}

std::int64_t waitersAhead(const PriorityQueue &queue, PriorityClass priority)
{
    std::size_t ahead = 0;
    for (std::size_t i = indexOf(priority); i < queue.classes.size(); ++i) {
        ahead += queue.classes.at(i).size();
    }
    return static_cast<std::int64_t>(ahead);
}

} // namespace agatedoor
