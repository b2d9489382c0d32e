#pragma once

#include <string>
#include <string_view>

/// @brief SHA-256.
namespace agatedoor {

/// @brief SHA-256 of @p bytes in lower-case hexadecimal, 64 digits.
std::string sha256Hex(std::string_view bytes);

} // namespace agatedoor
