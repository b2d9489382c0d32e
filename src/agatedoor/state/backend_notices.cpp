#include "agatedoor/state/backend_notices.hpp"

namespace agatedoor {

namespace {

/// A backend server that leaves is gone within this time; a limit is named anew with each answer.
constexpr std::chrono::seconds retention{60};

} // namespace

void BackendNotices::record(const BackendId &backend, const BackendNotice &notice, TimePoint now)
{
    const bool says = notice.leaving || notice.requestLimit > 0;
    if (!says && m_empty.load()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_entries, [now](const auto &entry) { return expired(entry.second.until, now); });
    const auto found = m_entries.find(backend);
    const bool leftBefore = found != m_entries.end() && found->second.notice.leaving && found->second.notice.born == notice.born;
    if (says || leftBefore) {
        Entry &entry = m_entries[backend];
        entry.notice = notice;
        entry.notice.leaving = notice.leaving || leftBefore;
        entry.until = deadlineAfter(now, retention);
    } else if (found != m_entries.end()) {
        m_entries.erase(found);
    }
    m_empty.store(m_entries.empty());
}

std::optional<BackendNotice> BackendNotices::find(const BackendId &backend, UnixTime born, TimePoint now) const
{
    if (m_empty.load()) {
        return std::nullopt;
    }
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(backend);
    if (found == m_entries.end() || found->second.notice.born != born || expired(found->second.until, now)) {
        return std::nullopt;
    }
    return found->second.notice;
}

} // namespace agatedoor
