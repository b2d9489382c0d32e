#include "agatedoor/wire/base64.hpp"

#include <openssl/evp.h>

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::size_t textGroup = 4;
constexpr std::size_t byteGroup = 3;

std::size_t paddingOf(std::string_view text)
{
    const auto end = text.find_last_not_of('=');
    return end == std::string_view::npos ? text.size() : text.size() - end - 1;
}

} // namespace

std::string toBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / byteGroup * textGroup + 1, '\0');
    const auto *input = reinterpret_cast<const unsigned char *>(bytes.data());
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), input, static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    const std::size_t padding = paddingOf(text);
    if (text.size() % textGroup != 0 || padding > 2) {
        return std::nullopt;
    }
    std::string bytes(text.size() / textGroup * byteGroup, '\0');
    const auto *input = reinterpret_cast<const unsigned char *>(text.data());
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), input, static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace agatedoor
