#include "agatedoor/decide/fair_queue.hpp"

#include <algorithm>
#include <iterator>

namespace agatedoor {

namespace {

using Entry = std::pair<const CustomerName, CustomerWaiters>;

std::pair<Deadline, WaiterId> placeOf(const Waiter &waiter)
{
    return {waiter.deadline, waiter.id};
}

const Waiter &firstOf(const Entry &entry)
{
    return entry.second.waiters.begin()->second;
}

/// Whether it is the turn of @p a before that of @p b; both wait.
bool goesBefore(const Entry &a, const Entry &b)
{
    return std::pair(a.second.start, firstOf(a).id) < std::pair(b.second.start, firstOf(b).id);
}

/// Forgets the customers that have no waiter and would start at the virtual time anyway.
void forgetIdle(FairQueue &queue)
{
    if (queue.count == 0) {
        queue = {};
        return;
    }
    std::erase_if(queue.customers, [&queue](const Entry &entry) { return entry.second.waiters.empty() && entry.second.start <= queue.virtualTime; });
}

void remove(FairQueue &queue, CustomerWaiters &own, const Waiter &waiter)
{
    own.work -= waiter.work;
    --queue.count;
    own.waiters.erase(placeOf(waiter));
}

void charge(CustomerWaiters &own, Duration work)
{
    own.start += work;
}

/// The last waiter of @p own that isn't @p kept; null when there is none.
const Waiter *lastBut(const CustomerWaiters &own, std::optional<WaiterId> kept)
{
    const auto found = std::find_if(own.waiters.rbegin(), own.waiters.rend(), [kept](const auto &entry) { return entry.second.id != kept; });
    return found == own.waiters.rend() ? nullptr : &found->second;
}

/// Number of waiters of another customer that start before the virtual time @p start.
std::int64_t countBefore(const CustomerWaiters &other, Duration start)
{
    const auto count = static_cast<std::int64_t>(other.waiters.size());
    if (count == 0 || other.start > start) {
        return 0;
    }
    const Duration mean = std::max(other.work / count, Duration(1));
    return std::min<std::int64_t>(count, (start - other.start) / mean + 1);
}

} // namespace

void add(FairQueue &queue, const Waiter &waiter)
{
    CustomerWaiters &own = queue.customers[waiter.customer];
    if (own.waiters.empty()) {
        own.start = std::max(own.start, queue.virtualTime);
    }
    own.waiters.emplace(placeOf(waiter), waiter);
    own.work += waiter.work;
    ++queue.count;
}

std::optional<Waiter> takeNext(FairQueue &queue)
{
    Entry *next = nullptr;
    for (Entry &entry : queue.customers) {
        if (!entry.second.waiters.empty() && (next == nullptr || goesBefore(entry, *next))) {
            next = &entry;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    const Waiter waiter = firstOf(*next);
    queue.virtualTime = std::max(queue.virtualTime, next->second.start);
    remove(queue, next->second, waiter);
    charge(next->second, waiter.work);
    forgetIdle(queue);
    return waiter;
}

void takeOutOfTurn(FairQueue &queue, const Waiter &waiter)
{
    CustomerWaiters &own = queue.customers.at(waiter.customer);
    remove(queue, own, waiter);
    charge(own, waiter.work);
    forgetIdle(queue);
}

bool drop(FairQueue &queue, const Waiter &waiter)
{
    const auto found = queue.customers.find(waiter.customer);
    if (found == queue.customers.end() || !found->second.waiters.contains(placeOf(waiter))) {
        return false;
    }
    remove(queue, found->second, waiter);
    forgetIdle(queue);
    return true;
}

const Waiter *earliestArrival(const FairQueue &queue)
{
    const Waiter *earliest = nullptr;
    for (const auto &[customer, own] : queue.customers) {
        for (const auto &[place, waiter] : own.waiters) {
            if (earliest == nullptr || waiter.id < earliest->id) {
                earliest = &waiter;
            }
        }
    }
    return earliest;
}

const Waiter *lastOfHeaviest(const FairQueue &queue, std::optional<WaiterId> kept)
{
    const Waiter *heaviest = nullptr;
    Duration most{0};
    for (const auto &[customer, own] : queue.customers) {
        const Waiter *last = lastBut(own, kept);
        if (last != nullptr && (heaviest == nullptr || own.work > most)) {
            heaviest = last;
            most = own.work;
        }
    }
    return heaviest;
}

Duration queuedWork(const FairQueue &queue, const CustomerName &customer)
{
    const auto found = queue.customers.find(customer);
    return found == queue.customers.end() ? Duration::zero() : found->second.work;
}

std::int64_t countAhead(const FairQueue &queue, const Waiter &waiter)
{
    std::int64_t ahead = 0;
    Duration start = queue.virtualTime;
    const auto own = queue.customers.find(waiter.customer);
    if (own != queue.customers.end()) {
        start = std::max(start, own->second.start);
        for (const auto &[place, other] : own->second.waiters) {
            if (placeOf(waiter) < place) {
                break;
            }
            start += other.work;
            ++ahead;
        }
    }
    for (const auto &[customer, other] : queue.customers) {
        if (customer != waiter.customer) {
            ahead += countBefore(other, start);
        }
    }
    return ahead;
}

} // namespace agatedoor
