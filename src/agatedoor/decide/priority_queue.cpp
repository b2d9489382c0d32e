#include "agatedoor/decide/priority_queue.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

std::size_t indexOf(PriorityClass priority)
{
    return static_cast<std::size_t>(priority);
}

std::int64_t countOf(const ClassQueue &waiters)
{
    return waiters.nested.count + waiters.fresh.count;
}

FairQueue &partOf(PriorityQueue &queue, const Waiter &waiter)
{
    ClassQueue &own = queue.classes.at(indexOf(waiter.priority));
    return waiter.nested ? own.nested : own.fresh;
}

/// Calls @p visit with each part of the queue, lowest class first.
template <typename Queue, typename Visit>
void forEachPart(Queue &queue, Visit visit)
{
    for (auto &waiters : queue.classes) {
        visit(waiters.fresh);
        visit(waiters.nested);
    }
}

/// Earliest arrival of the whole queue; none when the queue is empty.
std::optional<Waiter> earliest(const PriorityQueue &queue)
{
    const Waiter *found = nullptr;
    forEachPart(queue, [&found](const FairQueue &part) {
        const Waiter *waiter = earliestArrival(part);
        found = found == nullptr || (waiter != nullptr && waiter->id < found->id) ? waiter : found;
    });
    return found == nullptr ? std::nullopt : std::optional<Waiter>(*found);
}

/// Removes the waiter whose turn it is in a class.
std::optional<Waiter> takeOfClass(ClassQueue &waiters)
{
    const bool nested = waiters.nested.count > 0 && (waiters.fresh.count == 0 || waiters.nestedInARow < maxNestedInARow);
    waiters.nestedInARow = nested ? waiters.nestedInARow + 1 : 0;
    return takeNext(nested ? waiters.nested : waiters.fresh);
}

std::optional<Waiter> takeEarliest(PriorityQueue &queue)
{
    auto waiter = earliest(queue);
    if (waiter) {
        takeOutOfTurn(partOf(queue, *waiter), *waiter);
    }
    return waiter;
}

std::optional<Waiter> takeOfHighestClass(PriorityQueue &queue)
{
    const auto found = std::find_if(queue.classes.rbegin(), queue.classes.rend(), [](const ClassQueue &waiters) { return countOf(waiters) > 0; });
    return found == queue.classes.rend() ? std::nullopt : takeOfClass(*found);
}

/// The waiter of another customer in @p part that has to make room for @p waiter of the same part; null when no customer has more
/// work in the queue than that of @p waiter would have.
const Waiter *heavierThan(const FairQueue &part, const Waiter &waiter, std::optional<WaiterId> kept)
{
    const Waiter *last = lastOfHeaviest(part, kept);
    const bool heavier
        = last != nullptr && last->customer != waiter.customer && queuedWork(part, last->customer) > queuedWork(part, waiter.customer) + waiter.work;
    return heavier ? last : nullptr;
}

/// The waiter that makes room for @p waiter in a full queue; null when there is none.
const Waiter *findDisplaced(const PriorityQueue &queue, const Waiter &waiter)
{
    const auto first = earliest(queue);
    const auto kept = first ? std::optional<WaiterId>(first->id) : std::nullopt;
    const std::size_t ownClass = indexOf(waiter.priority);
    for (std::size_t i = 0; i < ownClass; ++i) {
        for (const FairQueue *part : {&queue.classes.at(i).fresh, &queue.classes.at(i).nested}) {
            if (const Waiter *last = lastOfHeaviest(*part, kept)) {
                return last;
            }
        }
    }
    const ClassQueue &own = queue.classes.at(ownClass);
    const Waiter *fresh = waiter.nested ? lastOfHeaviest(own.fresh, kept) : nullptr;
    return fresh != nullptr ? fresh : heavierThan(waiter.nested ? own.nested : own.fresh, waiter, kept);
}

/// Removes a waiter to make room for @p waiter; none when there is no such waiter.
std::optional<Waiter> displace(PriorityQueue &queue, const Waiter &waiter)
{
    const Waiter *found = findDisplaced(queue, waiter);
    if (found == nullptr) {
        return std::nullopt;
    }
    const Waiter displaced = *found;
    drop(partOf(queue, displaced), displaced);
    return displaced;
}

} // namespace

JoinResult join(PriorityQueue &queue, const Waiter &waiter, std::int64_t capacity)
{
    JoinResult effect;
    if (waiterCount(queue) >= capacity) {
        effect.displaced = displace(queue, waiter);
        if (!effect.displaced) {
            return effect;
        }
    }
    add(partOf(queue, waiter), waiter);
    effect.joined = true;
    return effect;
}

std::optional<Waiter> grantNext(PriorityQueue &queue)
{
    const bool aging = (queue.grants + 1) % agingInterval == 0;
    auto next = aging ? takeEarliest(queue) : takeOfHighestClass(queue);
    queue.grants += next ? 1 : 0;
    return next;
}

bool removeWaiter(PriorityQueue &queue, const Waiter &waiter)
{
    return drop(partOf(queue, waiter), waiter);
}

std::vector<Waiter> removeExpired(PriorityQueue &queue, TimePoint now)
{
    std::vector<Waiter> removed;
    forEachPart(queue, [&removed, now](const FairQueue &part) {
        for (const auto &[customer, own] : part.customers) {
            for (const auto &[place, waiter] : own.waiters) {
                if (expired(waiter.latest, now)) {
                    removed.push_back(waiter);
                }
            }
        }
    });
    for (const Waiter &waiter : removed) {
        removeWaiter(queue, waiter);
    }
    return removed;
}

std::int64_t waiterCount(const PriorityQueue &queue)
{
    std::int64_t count = 0;
    for (const ClassQueue &waiters : queue.classes) {
        count += countOf(waiters);
    }
    return count;
}

std::int64_t waitersAhead(const PriorityQueue &queue, const Waiter &waiter)
{
    const ClassQueue &own = queue.classes.at(indexOf(waiter.priority));
    std::int64_t ahead = waiter.nested ? countAhead(own.nested, waiter) : own.nested.count + countAhead(own.fresh, waiter);
    for (std::size_t i = indexOf(waiter.priority) + 1; i < queue.classes.size(); ++i) {
        ahead += countOf(queue.classes.at(i));
    }
    return ahead;
}

} // namespace agatedoor
