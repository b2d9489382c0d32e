#include "departure_sync.hpp"

#include "adopt_departures.hpp"
#include "agatedoor/base/random_time.hpp"
#include "agatedoor/wire/log.hpp"
#include "store_pause.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::string_view recordPrefix = "/agatedoor/departures/";
constexpr std::chrono::milliseconds listenerTime{700}; ///< A backend server waits a second for its answer.
constexpr std::chrono::milliseconds callTimeout{250};
constexpr std::chrono::milliseconds roundInterval{500}; ///< Without work.
constexpr std::chrono::milliseconds retryPause{300}; ///< While an answer waits.
constexpr std::chrono::milliseconds retryPauseSpread{200};
constexpr std::chrono::seconds leaseTtl{120};
constexpr std::chrono::seconds leastLeaseTime{60}; ///< A record is written under a lease that lasts at least this long.
/// A node whose peers gave it a bundle doesn't wait longer for the store's record: those that live know what earlier processes acknowledged.
constexpr std::chrono::seconds readTime{2};

Deadline callDeadline()
{
    return deadlineAfter(Clock::now(), callTimeout);
}

bool covers(const Departure &recorded, const Departure &departure)
{
    return recorded == departure || supersedes(recorded, departure);
}

} // namespace

DepartureSync::DepartureSync(NodeState &node, const Store &store, StoreCalls &calls)
    : m_node(node)
    , m_store(store)
    , m_calls(calls)
    , m_read(node.settings.firstStart)
    , m_known(node.settings.firstStart)
    , m_thread([this] { run(); })
{
}

DepartureSync::~DepartureSync()
{
    close();
}

void DepartureSync::close()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
    }
    m_workAvailable.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    const std::lock_guard lock(m_mutex);
    m_waitForKnown.clear();
    m_waitForRecord.clear();
}

void DepartureSync::whenKnown(Listener listener)
{
    bool known = false;
    {
        const std::lock_guard lock(m_mutex);
        known = m_known;
        if (!known && !m_stop) {
            m_waitForKnown.push_back({{}, deadlineAfter(Clock::now(), listenerTime), std::move(listener)});
            return;
        }
    }
    listener(known);
}

void DepartureSync::whenRecorded(const BackendId &backend, Listener listener)
{
    const bool recorded = isRecorded(backend);
    {
        const std::lock_guard lock(m_mutex);
        m_wanted.insert(backend);
        if (!recorded && !m_stop) {
            m_waitForRecord.push_back({backend, deadlineAfter(Clock::now(), listenerTime), std::move(listener)});
            m_work = true;
            m_workAvailable.notify_all();
            return;
        }
    }
    listener(recorded);
}

/// @return false at a stop
bool DepartureSync::waitForWork(Duration time)
{
    std::unique_lock lock(m_mutex);
    m_workAvailable.wait_for(lock, time, [this] { return m_stop || m_work; });
    m_work = false;
    return !m_stop;
}

void DepartureSync::run()
{
    Duration pause = startDelay(m_random);
    while (waitForWork(pause)) {
        pause = round();
        callListeners();
    }
}

Duration DepartureSync::round()
{
    dropWhatIsOfOtherEra();
    const bool read = m_read || readEarlier();
    noteKnown();
    const bool written = !hasUnrecorded() || writeRecord();
    if (read && written) {
        m_failures = 0;
        return roundInterval;
    }
    const bool awaited = [this] {
        const std::lock_guard lock(m_mutex);
        return !m_waitForKnown.empty() || !m_waitForRecord.empty();
    }();
    return awaited ? retryPause + uniformTime(m_random, retryPauseSpread) : nextBackOff(m_failures, m_random);
}

/// After a restore the store may hold an earlier record or none, and leases are void.
void DepartureSync::dropWhatIsOfOtherEra()
{
    const StoreEra era = m_node.storeEra.value();
    if (m_era == era) {
        return;
    }
    m_era = era;
    m_lease = {};
    const std::lock_guard lock(m_mutex);
    m_recorded.clear();
}

bool DepartureSync::readEarlier()
{
    const auto reply = m_store.range(recordKey(), callDeadline());
    if (!m_calls.record(StoreCall::ReadDepartures, reply)) {
        return false;
    }
    dropWhatIsOfOtherEra();
    for (const auto &value : reply.value().values) {
        const auto record = decodeMember(value.value);
        if (!record) {
            logLine(LogLevel::Error, "damaged-record", {{"key", value.key}});
            continue;
        }
        adoptDepartures(m_node.localBackends, record->departures, Clock::now());
        const std::lock_guard lock(m_mutex);
        for (const auto &departure : record->departures) {
            m_recorded[departure.backend] = departure;
        }
    }
    m_read = true;
    return true;
}

/// Peers that knew an earlier process of this node have told what that one acknowledged, unless it was in its last milliseconds.
void DepartureSync::noteKnown()
{
    const bool hasBundle = m_node.bundles.current()->head.generation.value != 0;
    if (hasBundle && m_acceptWithoutRead.at == TimePoint::max()) {
        m_acceptWithoutRead = deadlineAfter(Clock::now(), readTime);
    }
    const std::lock_guard lock(m_mutex);
    m_known = m_known || m_read || m_node.earlierProcessTold.load() || expired(m_acceptWithoutRead, Clock::now());
}

bool DepartureSync::writeRecord()
{
    if (!acquireLease()) {
        return false;
    }
    MemberRecord record;
    record.node = m_node.settings.node;
    record.region = m_node.settings.region;
    record.zone = m_node.settings.zone;
    record.incarnation = {m_node.incarnation.value.load()};
    record.departures = m_node.localBackends.departures(Clock::now());
    return putRecord(record);
}

bool DepartureSync::acquireLease()
{
    const TimePoint now = Clock::now();
    if (m_lease.id != 0 && m_leaseEnd >= now + leastLeaseTime) {
        return true;
    }
    const auto granted = m_store.grantLease(leaseTtl, callDeadline());
    if (!m_calls.record(StoreCall::GrantLease, granted)) {
        return false;
    }
    m_lease = granted.value();
    m_leaseEnd = now + leaseTtl;
    return true;
}

bool DepartureSync::putRecord(const MemberRecord &record)
{
    const StoreTransaction write{.conditions = {}, .puts = {{recordKey(), encodeMember(record), m_lease.id}}, .era = m_lease.era};
    const auto written = m_store.transact(write, callDeadline());
    if (!m_calls.record(StoreCall::PutDepartures, written)) {
        m_lease = isAnswered(written.error().kind) ? Lease{} : m_lease; // It has ended, or the store was restored.
        return false;
    }
    const std::lock_guard lock(m_mutex);
    m_recorded.clear();
    for (const auto &departure : record.departures) {
        m_recorded[departure.backend] = departure;
    }
    return true;
}

bool DepartureSync::isRecorded(const BackendId &backend) const
{
    const auto departures = m_node.localBackends.departures(Clock::now());
    const std::lock_guard lock(m_mutex);
    return std::all_of(departures.begin(), departures.end(), [&](const Departure &departure) {
        const auto recorded = m_recorded.find(departure.backend);
        return departure.backend != backend || (recorded != m_recorded.end() && covers(recorded->second, departure));
    });
}

/// Forgets acknowledged departures that have expired.
bool DepartureSync::hasUnrecorded()
{
    std::set<BackendId> active;
    for (const auto &departure : m_node.localBackends.departures(Clock::now())) {
        active.insert(departure.backend);
    }
    const std::set<BackendId> wanted = [&] {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_wanted, [&active](const BackendId &backend) { return !active.contains(backend); });
        return m_wanted;
    }();
    return std::any_of(wanted.begin(), wanted.end(), [this](const BackendId &backend) { return !isRecorded(backend); });
}

void DepartureSync::callListeners()
{
    std::vector<std::pair<Listener, bool>> due;
    const auto takeDue = [&due](std::vector<Waiter> &waiters, const auto &isDone) {
        std::erase_if(waiters, [&](Waiter &waiter) {
            const bool done = isDone(waiter);
            const bool ended = done || expired(waiter.deadline, Clock::now());
            if (ended) {
                due.emplace_back(std::move(waiter.listener), done);
            }
            return ended;
        });
    };
    std::vector<Waiter> waiting;
    {
        const std::lock_guard lock(m_mutex);
        takeDue(m_waitForKnown, [this](const Waiter &) { return m_known; });
        waiting.swap(m_waitForRecord);
    }
    takeDue(waiting, [this](const Waiter &waiter) { return isRecorded(waiter.backend); });
    {
        const std::lock_guard lock(m_mutex);
        std::move(waiting.begin(), waiting.end(), std::back_inserter(m_waitForRecord));
    }
    for (const auto &[listener, done] : due) {
        listener(done);
    }
}

std::string DepartureSync::recordKey() const
{
    return std::string(recordPrefix) + m_node.settings.node.value + "/";
}

} // namespace agatedoor
