#include "agatedoor/release/bundle_pack.hpp"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace agatedoor {

namespace {

constexpr int compressionLevel = 3;
constexpr int minWindowLog = 15; ///< Binary logarithm of the window, in bytes.
constexpr int maxWindowLog = 22; ///< Bounds the memory that a damaged or hostile message can claim.

using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/// The window must reach from the end of the text back to the start of the base.
int windowLogFor(std::size_t bytes)
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), minWindowLog, maxWindowLog);
}

} // namespace

std::string packText(std::string_view text, std::string_view base)
{
    const Compressor context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(text.size() + base.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string packed(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), packed.data(), packed.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0) {
        return {};
    }
    packed.resize(size);
    packed.shrink_to_fit();
    return packed;
}

std::optional<std::string> unpackText(std::string_view packed, std::string_view base, std::size_t maxBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maxBytes) {
        return std::nullopt;
    }
    const Decompressor context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, maxWindowLog);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(static_cast<std::size_t>(size), '\0');
    const std::size_t written = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), packed.data(), packed.size());
    if (ZSTD_isError(written) != 0 || written != text.size()) {
        return std::nullopt;
    }
    return text;
}

} // namespace agatedoor
