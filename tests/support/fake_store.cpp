#include "support/fake_store.hpp"

#include <algorithm>

namespace agatedoor::test {

Store FakeStore::seam(const Injector &injector)
{
    Store store;
    store.range = [this, injector](const std::string &prefix, Deadline) { return range(prefix, injector(false), false); };
    store.listKeys = [this, injector](const std::string &prefix, Deadline) { return range(prefix, injector(false), true); };
    store.transact = [this, injector](const StoreTransaction &transaction, Deadline) { return transact(transaction, injector(true)); };
    return store;
}

bool FakeStore::deliverLate()
{
    if (m_late.empty()) {
        return false;
    }
    const StoreTransaction transaction = m_late.front();
    m_late.erase(m_late.begin());
    apply(transaction);
    return true;
}

void FakeStore::overwrite(const std::string &key, const std::string &value)
{
    m_values[key] = {key, value, ++m_revision};
}

void FakeStore::erase(const std::string &key)
{
    m_values.erase(key);
    ++m_revision;
}

void FakeStore::restore(std::size_t writes)
{
    m_values = m_history.at(m_history.size() - writes);
    m_history.resize(m_history.size() - writes);
    m_revision -= static_cast<Revision>(writes);
}

const FakeStore::Values &FakeStore::past() const
{
    const std::size_t back = std::min(m_staleness, m_history.size());
    return back == 0 ? m_values : m_history[m_history.size() - back];
}

StoreResult<RangeReply> FakeStore::range(const std::string &prefix, Fault fault, bool keysOnly) const
{
    if (fault == Fault::Unreachable || fault == Fault::Rejected) {
        return StoreError{fault == Fault::Unreachable ? StoreErrorKind::Unreachable : StoreErrorKind::Rejected, 0};
    }
    if (fault == Fault::AnswerLost || fault == Fault::Dropped || fault == Fault::Late) {
        return StoreError{StoreErrorKind::OutcomeUnknown, 0};
    }
    RangeReply reply;
    reply.revision = m_revision;
    for (const auto &[key, value] : fault == Fault::StaleRead ? past() : m_values) {
        if (key.starts_with(prefix)) {
            reply.values.push_back({key, keysOnly ? std::string() : value.value, value.modRevision});
        }
    }
    return reply;
}

StoreResult<TransactionReply> FakeStore::transact(const StoreTransaction &transaction, Fault fault)
{
    switch (fault) {
    case Fault::Unreachable:
        return StoreError{StoreErrorKind::Unreachable, 0};
    case Fault::Rejected:
        return StoreError{StoreErrorKind::Rejected, 0};
    case Fault::AnswerLost:
        apply(transaction);
        return StoreError{StoreErrorKind::OutcomeUnknown, 0};
    case Fault::Dropped:
        return StoreError{StoreErrorKind::OutcomeUnknown, 0};
    case Fault::Late:
        m_late.push_back(transaction);
        return StoreError{StoreErrorKind::OutcomeUnknown, 0};
    case Fault::None:
    case Fault::StaleRead:
        break;
    }
    return apply(transaction);
}

bool FakeStore::conditionsHold(const StoreTransaction &transaction) const
{
    return std::all_of(transaction.conditions.begin(), transaction.conditions.end(), [this](const StoreCondition &condition) {
        const auto found = m_values.find(condition.key);
        const bool unchanged = (found == m_values.end() ? 0 : found->second.modRevision) == condition.modRevision;
        return unchanged && (!condition.value || found->second.value == *condition.value);
    });
}

TransactionReply FakeStore::apply(const StoreTransaction &transaction)
{
    TransactionReply reply;
    reply.applied = conditionsHold(transaction);
    if (!reply.applied) {
        for (const auto &key : transaction.readsOnConflict) {
            if (m_values.contains(key)) {
                reply.found.push_back(m_values.at(key));
            }
        }
        reply.revision = m_revision;
        return reply;
    }
    m_history.push_back(m_values);
    reply.revision = ++m_revision;
    for (const auto &put : transaction.puts) {
        m_values[put.key] = {put.key, put.value, m_revision};
        if (put.key == headKey) {
            m_heads.push_back(decodeHead(put.value).value());
        }
    }
    for (const auto &key : transaction.removes) {
        m_values.erase(key);
    }
    return reply;
}

} // namespace agatedoor::test
