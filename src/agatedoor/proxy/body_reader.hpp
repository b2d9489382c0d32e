#pragma once

#include "http_types.hpp"
#include "memory_share.hpp"

#include <algorithm>

/// @brief Reads bodies of requests and responses, and counts the memory that they take.
namespace agatedoor {

/// @brief What reading a body came to.
enum class BodyResult {
    Whole,
    Failed, ///< The connection ended, or the bytes are no body within the parser's limit.
    NoMemory, ///< The node has no memory left for it.
};

/// @brief Limits on one body.
struct BodyLimits
{
    std::int64_t maxBytes = 0; ///< The parser's limit.
    std::int64_t uncountedBytes = 0; ///< Up to this size a body takes no share of the memory.
};

/// @brief A body of unknown length gets address space for the largest one once it has this size, in bytes.
inline constexpr std::size_t reserveFromBytes = 64UL * 1024;

/// @brief Reserves address space for the largest body, once a body of unknown length has grown large. Growing step by step would copy it,
/// and take up to three times its size meanwhile; what isn't written takes no memory.
template <typename Parser>
void reserveLargeBody(Parser &parser, std::int64_t maxBytes)
{
    std::string &body = parser.get().body();
    const auto largest = static_cast<std::size_t>(std::min(maxBytes, largestContentBytes(bodyMemory)));
    const bool unknownLength = parser.chunked() || parser.need_eof();
    if (unknownLength && body.size() > reserveFromBytes && body.capacity() < largest) {
        body.reserve(largest);
    }
}

/// @brief Reads the rest of a message whose header was read. The body takes memory as it arrives and not by its declared length, so that a
/// sender that is slow holds no more than it has sent.
template <typename Parser>
asio::awaitable<BodyResult> readBody(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser, MemoryShare &memory, BodyLimits limits,
                                     error_code &error)
{
    while (!error && !parser.is_done()) {
        co_await http::async_read_some(stream, buffer, parser, into(error));
        reserveLargeBody(parser, limits.maxBytes);
        const auto size = static_cast<std::int64_t>(parser.get().body().size());
        if (!error && size > limits.uncountedBytes && !memory.growTo(size)) {
            co_return BodyResult::NoMemory;
        }
    }
    co_return error ? BodyResult::Failed : BodyResult::Whole;
}

} // namespace agatedoor
