#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

/// @brief HTTP pipelining (RFC 9112, section 9.3.2): which requests of one connection run at the same time, in which order
/// their responses are written, and when to stop reading.
///
/// Without it, a request sent ahead waits for the response before it (head-of-line blocking).
namespace agatedoor {

/// @brief Limits on what one connection holds. At a limit the node stops reading from the connection; it refuses nothing.
struct PipelineOptions
{
    std::size_t maxRequests = 16; ///< Requests in progress on one connection.
    std::int64_t maxHeldBytes = 256LL * 1024; ///< Bytes of finished responses on one connection that wait for an earlier one.
    std::int64_t maxNodeHeldBytes = 8LL * 1024 * 1024; ///< The same over all connections of the node.
};

/// @brief What decides whether a request may run beside others on its connection.
struct PipelinedRequest
{
    bool idempotent = false;
    bool hasBody = false;
    bool leavesHttp = false; ///< CONNECT or Upgrade: what follows on the connection may not be HTTP.
};

/// @brief True when the request starts only after all earlier responses are written, and nothing behind it starts before its own is.
bool runsAlone(const PipelinedRequest &request);

/// @brief Position of a request on its connection, counted from 0.
struct PipelinePosition
{
    std::uint64_t value = 0;

    friend auto operator<=>(PipelinePosition, PipelinePosition) = default;
};

/// @brief Requests of one connection whose responses are not written yet, in the order in which they arrived.
class Pipeline
{
public:
    /// @brief Adds the request that was read last.
    PipelinePosition add();

    /// @brief Records that the response at @p position is complete and takes @p bytes while it is held.
    void finish(PipelinePosition position, std::int64_t bytes);

    /// @brief Starts to write the next response; none while it isn't finished or another write is in progress.
    std::optional<PipelinePosition> beginWrite();

    /// @brief Ends the write that beginWrite() started, and drops the request.
    void endWrite();

    /// @brief True when the next request may be read.
    /// @param nodeHeldBytes bytes of finished responses held on all connections of the node
    bool mayRead(std::int64_t nodeHeldBytes, const PipelineOptions &options) const;

    /// @brief True when the responses to all requests but the one added last are written.
    bool hasOne() const { return m_entries.size() == 1; }
    bool empty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }
    std::int64_t heldBytes() const { return m_heldBytes; }

private:
    struct Entry
    {
        bool finished = false;
        std::int64_t bytes = 0;
    };

    std::deque<Entry> m_entries;
    PipelinePosition m_first; ///< Position of the first entry.
    std::int64_t m_heldBytes = 0;
    bool m_writing = false;
};

} // namespace agatedoor
