#include "agatedoor/decide/pipelining.hpp"

namespace agatedoor {

bool runsAlone(const PipelinedRequest &request)
{
    return !request.idempotent || request.hasBody || request.leavesHttp;
}

PipelinePosition Pipeline::add()
{
    m_entries.emplace_back();
    return {m_first.value + m_entries.size() - 1};
}

void Pipeline::finish(PipelinePosition position, std::int64_t bytes)
{
    Entry &entry = m_entries.at(position.value - m_first.value);
    entry.finished = true;
    entry.bytes = bytes;
    m_heldBytes += bytes;
}

std::optional<PipelinePosition> Pipeline::beginWrite()
{
    if (m_writing || m_entries.empty() || !m_entries.front().finished) {
        return std::nullopt;
    }
    m_writing = true;
    return m_first;
}

void Pipeline::endWrite()
{
    m_heldBytes -= m_entries.front().bytes;
    m_entries.pop_front();
    ++m_first.value;
    m_writing = false;
}

bool Pipeline::mayRead(std::int64_t nodeHeldBytes, const PipelineOptions &options) const
{
    if (m_entries.empty()) {
        return true;
    }
    return m_entries.size() < options.maxRequests && m_heldBytes < options.maxHeldBytes && nodeHeldBytes < options.maxNodeHeldBytes;
}

} // namespace agatedoor
