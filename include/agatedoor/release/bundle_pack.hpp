#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// @brief Compresses a bundle text for its way to another node. Against an earlier text that both nodes have, only the difference
/// between the two remains.
namespace agatedoor {

/// @brief Compresses @p text; @p base is a text that the receiver has too, or empty.
/// @return empty when the text can't be compressed
std::string packText(std::string_view text, std::string_view base);

/// @brief Restores a text that was packed against the same @p base.
/// @return none when @p packed is damaged, or when the text would exceed @p maxBytes
std::optional<std::string> unpackText(std::string_view packed, std::string_view base, std::size_t maxBytes);

} // namespace agatedoor
