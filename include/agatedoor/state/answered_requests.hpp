#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

/// @brief Remembers requests that backend servers answered, so that a request which stands beside ends later on is known to have been sound.
namespace agatedoor {

/// @brief Hash of a request, the same whenever it is sent again; cheap, and not proof against forgery.
struct RequestFingerprint
{
    std::uint64_t value = 0;
};

/// @brief The fingerprints that were recorded last; for several threads, without locks. A new one takes the place of an older one.
class AnsweredRequests
{
public:
    void record(RequestFingerprint request) { placeOf(request).store(request.value, std::memory_order_relaxed); }
    bool contains(RequestFingerprint request) const { return m_places[request.value % size].load(std::memory_order_relaxed) == request.value; }

private:
    static constexpr std::size_t size = 8192;

    std::atomic<std::uint64_t> &placeOf(RequestFingerprint request) { return m_places[request.value % size]; }

    std::array<std::atomic<std::uint64_t>, size> m_places{};
};

} // namespace agatedoor
