#pragma once

#include <atomic>
#include <cstdint>

/// @brief Limits the memory that one kind of content takes on a node.
namespace agatedoor {

/// @brief Limits on the total size of one kind of content.
struct MemoryLimits
{
    std::int64_t totalBytes = 0;
    std::int64_t smallBytes = 0; ///< Part of the total that only small contents may take, so that a few large ones don't keep them out.
};

/// @brief Content up to this size is small.
inline constexpr std::int64_t smallContentBytes = 1024LL * 1024;

/// @brief Limits for the request bodies that a node holds at once; one may be as large as all large ones together.
inline constexpr MemoryLimits bodyMemory{.totalBytes = 72LL * 1024 * 1024, .smallBytes = 8LL * 1024 * 1024};

/// @brief Limits for the large responses that a node is reading.
inline constexpr MemoryLimits largeAnswerMemory{.totalBytes = 32LL * 1024 * 1024};

/// @brief Most bytes that one content may have.
constexpr std::int64_t largestContentBytes(const MemoryLimits &limits)
{
    return limits.totalBytes - limits.smallBytes;
}

/// @brief Share of the memory for one kind of content, given back on destruction.
class MemoryShare
{
public:
    /// @param used bytes that all shares of this kind take
    MemoryShare(std::atomic<std::int64_t> &used, const MemoryLimits &limits)
        : m_used(used)
        , m_limits(limits)
    {
    }
    ~MemoryShare() { m_used.fetch_sub(m_size); }
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    /// @brief Whether the share could grow to @p size bytes now. Takes nothing.
    bool fits(std::int64_t size) const { return m_used.load() + size - m_size <= limitFor(size); }

    /// @brief Makes the share at least @p size bytes large. False when that exceeds the limit: the share stays as it was, and the
    /// content must be given up.
    bool growTo(std::int64_t size)
    {
        if (size <= m_size) {
            return true;
        }
        const std::int64_t more = size - m_size;
        std::int64_t used = m_used.load();
        do {
            if (used + more > limitFor(size)) {
                return false;
            }
        } while (!m_used.compare_exchange_weak(used, used + more));
        m_size = size;
        return true;
    }

    /// @brief Makes the share @p size bytes larger, also past the limit, for content that is kept in any case.
    void add(std::int64_t size)
    {
        m_used.fetch_add(size);
        m_size += size;
    }

private:
    std::int64_t limitFor(std::int64_t size) const { return size <= smallContentBytes ? m_limits.totalBytes : largestContentBytes(m_limits); }

    std::atomic<std::int64_t> &m_used;
    MemoryLimits m_limits;
    std::int64_t m_size = 0;
};

} // namespace agatedoor
