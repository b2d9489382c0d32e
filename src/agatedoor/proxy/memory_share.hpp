#pragma once

#include <atomic>
#include <cstdint>

/// @brief Limits the memory that one kind of content takes on a node.
namespace agatedoor {

/// @brief Limit on the total size of the request bodies that a node holds at once.
inline constexpr std::int64_t bodyMemoryBytes = 48LL * 1024 * 1024;

/// @brief Limit on the total size of the large responses that a node is reading.
inline constexpr std::int64_t largeAnswerMemoryBytes = 32LL * 1024 * 1024;

/// @brief Share of the memory for one kind of content, given back on destruction.
class MemoryShare
{
public:
    /// @param used bytes that all shares of this kind take
    /// @param limit most bytes of this kind
    MemoryShare(std::atomic<std::int64_t> &used, std::int64_t limit)
        : m_used(used)
        , m_limit(limit)
    {
    }
    ~MemoryShare() { m_used.fetch_sub(m_size); }
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    /// @brief Makes the share @p size bytes large; false when that exceeds the limit, and the content must be given up.
    bool growTo(std::int64_t size)
    {
        const std::int64_t more = size - m_size;
        m_size = size;
        return m_used.fetch_add(more) + more <= m_limit;
    }

private:
    std::atomic<std::int64_t> &m_used;
    std::int64_t m_limit;
    std::int64_t m_size = 0;
};

} // namespace agatedoor
