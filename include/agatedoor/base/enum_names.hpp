#pragma once

#include <optional>
#include <string_view>

/// @brief Lookup in tables of enumerators and their names on the wire.
namespace agatedoor {

/// @brief Name of @p key; `unnamed` when the table doesn't contain it.
template <typename Words, typename Key>
constexpr std::string_view enumName(const Words &words, Key key)
{
    for (const auto &[candidate, word] : words) {
        if (candidate == key) {
            return word;
        }
    }
    return "unnamed";
}

/// @brief Enumerator with the name @p wanted, if there is one.
template <typename Key, typename Words>
constexpr std::optional<Key> enumFromName(const Words &words, std::string_view wanted)
{
    for (const auto &[key, word] : words) {
        if (word == wanted) {
            return key;
        }
    }
    return std::nullopt;
}

} // namespace agatedoor
