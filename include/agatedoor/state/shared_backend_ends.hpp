#pragma once

#include "agatedoor/state/backend_ends.hpp"

#include <atomic>
#include <mutex>
#include <string_view>

/// @brief The ends of backend servers that this node knows, shared by request threads and the exchange with peers.
namespace agatedoor {

/// @brief Thread-safe BackendEnds. While there are none, the request path reads one atomic; else it takes a mutex briefly.
class SharedBackendEnds
{
public:
    /// @brief Records that @p content was in progress when the backend server process of @p id ended.
    void recordEnd(BackendEndId id, const ContentDigest &content, TimePoint now);
    /// @brief Records that a backend server answered @p content.
    void recordAnswer(const ContentDigest &content);
    /// @brief Records that trials of @p content were made, @p trials in all; the next one is due at @p nextAt at the earliest.
    void recordTrials(const ContentDigest &content, int trials, Deadline nextAt);
    /// @brief The same, but peers aren't told, since the trial may not be made after all.
    void expectTrials(const ContentDigest &content, int trials, Deadline nextAt);
    /// @brief What the ends that count for @p content tell of it.
    RequestSuspicion suspicionOf(const ContentDigest &content, TimePoint now) const;
    /// @brief Number of ends that count for @p content.
    int endsBeside(const ContentDigest &content, TimePoint now) const;
    /// @brief Whether a request beside some end begins with @p headDigest, see contentHeadOf().
    bool mayKnow(std::string_view headDigest) const;
    bool empty() const { return m_empty.load(std::memory_order_relaxed); }

    /// @brief Adds what a peer knows; what was new is to be told to others.
    void merge(const std::vector<BackendEnd> &ends);
    /// @brief What has changed since the last call and must be told to peers.
    std::vector<BackendEnd> takeNews();
    /// @brief All ends that aren't forgotten yet at @p now.
    BackendEnds current(TimePoint now);

private:
    void addNews(const std::vector<BackendEnd> &changed);
    void mergeLocked(const BackendEnd &end);

    std::atomic<bool> m_empty{true};
    mutable std::mutex m_mutex;
    BackendEnds m_ends;
    std::map<BackendEndId, BackendEnd> m_news;
};

} // namespace agatedoor
