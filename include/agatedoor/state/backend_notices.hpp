#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/time_of_day.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>

/// @brief What backend servers said in the answers that this node passed on. It outlasts a restart of their owning node, which then
/// knows nothing, while this node remains bound.
namespace agatedoor {

/// @brief What a backend server process said of itself.
struct BackendNotice
{
    UnixTime born; ///< Start time of the process; 0 when unknown.
    bool leaving = false;
    double requestLimit = 0; ///< Requests per second; 0 when it named none.
};

/// @brief Notices of all backend servers. Few have one, so the request path mostly reads one atomic; else it takes a mutex briefly.
class BackendNotices
{
public:
    /// @brief Records what an answer of @p backend said. A leave of the same process isn't taken back.
    void record(const BackendId &backend, const BackendNotice &notice, TimePoint now);

    /// @brief What the process of @p backend that started at @p born said last, if it hasn't expired.
    std::optional<BackendNotice> find(const BackendId &backend, UnixTime born, TimePoint now) const;

private:
    struct Entry
    {
        BackendNotice notice;
        Deadline until;
    };

    std::atomic<bool> m_empty{true};
    mutable std::mutex m_mutex;
    std::map<BackendId, Entry> m_entries;
};

} // namespace agatedoor
