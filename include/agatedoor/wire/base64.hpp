#pragma once

#include <optional>
#include <string>
#include <string_view>

/// @brief Base64 as the etcd gateway uses it for keys and values.
namespace agatedoor {

std::string toBase64(std::string_view bytes);

/// @brief Bytes of @p text, or none when it isn't base64.
std::optional<std::string> fromBase64(std::string_view text);

} // namespace agatedoor
