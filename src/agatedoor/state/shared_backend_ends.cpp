#include "agatedoor/state/shared_backend_ends.hpp"

#include <algorithm>
#include <utility>

namespace agatedoor {

void SharedBackendEnds::recordEnd(BackendEndId id, const ContentDigest &content, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    mergeLocked({id, {{content, false}}, deadlineAfter(now, BackendEndOptions{}.retention)});
}

void SharedBackendEnds::recordAnswer(const ContentDigest &content)
{
    const std::lock_guard lock(m_mutex);
    addNews(acquit(m_ends, content));
}

void SharedBackendEnds::recordTrials(const ContentDigest &content, int trials, Deadline nextAt)
{
    const std::lock_guard lock(m_mutex);
    addNews(noteTrials(m_ends, content, trials, nextAt));
}

void SharedBackendEnds::expectTrials(const ContentDigest &content, int trials, Deadline nextAt)
{
    const std::lock_guard lock(m_mutex);
    (void)noteTrials(m_ends, content, trials, nextAt);
}

RequestSuspicion SharedBackendEnds::suspicionOf(const ContentDigest &content, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return agatedoor::suspicionOf(m_ends, content, now);
}

int SharedBackendEnds::endsBeside(const ContentDigest &content, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return agatedoor::endsBeside(m_ends, content, now);
}

bool SharedBackendEnds::mayKnow(std::string_view headDigest) const
{
    if (empty()) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_ends.byId.begin(), m_ends.byId.end(), [&](const auto &entry) {
        const auto &requests = entry.second.requests;
        return std::any_of(requests.begin(), requests.end(), [&](const auto &request) { return request.content.value.starts_with(headDigest); });
    });
}

void SharedBackendEnds::merge(const std::vector<BackendEnd> &ends)
{
    if (ends.empty()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    for (const auto &end : ends) {
        mergeLocked(end);
    }
}

std::vector<BackendEnd> SharedBackendEnds::takeNews()
{
    if (empty()) {
        return {};
    }
    const std::lock_guard lock(m_mutex);
    std::vector<BackendEnd> news;
    for (auto &[id, end] : std::exchange(m_news, {})) {
        news.push_back(std::move(end));
    }
    return news;
}

BackendEnds SharedBackendEnds::current(TimePoint now)
{
    if (empty()) {
        return {};
    }
    const std::lock_guard lock(m_mutex);
    forgetOldEnds(m_ends, now);
    m_empty.store(m_ends.byId.empty());
    return m_ends;
}

void SharedBackendEnds::mergeLocked(const BackendEnd &end)
{
    if (mergeEnd(m_ends, end)) {
        addNews({m_ends.byId.at(end.id)});
    }
    m_empty.store(false);
}

void SharedBackendEnds::addNews(const std::vector<BackendEnd> &changed)
{
    for (const auto &end : changed) {
        m_news.insert_or_assign(end.id, end);
    }
}

} // namespace agatedoor
