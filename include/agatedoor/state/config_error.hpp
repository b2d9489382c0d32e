#pragma once

#include <string>
#include <string_view>

/// @brief Errors in settings and bundles, with file and line.
namespace agatedoor {

/// @brief Kinds of configuration errors.
enum class ConfigErrorKind {
    Unreadable, ///< The file can't be read.
    Syntax, ///< The text isn't valid TOML.
    UnknownKey, ///< The key isn't known in this table.
    MissingKey, ///< A required key is absent.
    WrongType, ///< The value has the wrong type.
    BadValue, ///< The value isn't allowed.
    Duplicate, ///< An entry that must be unique occurs twice.
    Contradiction, ///< Two values contradict each other.
    Empty, ///< There is no service or no route.
    TooLarge, ///< The text exceeds the size that the store accepts.
};

/// @brief One configuration error.
struct ConfigError
{
    ConfigErrorKind kind = ConfigErrorKind::Syntax;
    std::string file;
    int line = 0; ///< Line, counted from 1; 0 when the error concerns the whole file.
    std::string key; ///< Dotted path of the key; may be empty.
    std::string found; ///< Value found.
    std::string allowed; ///< Description of the allowed values.
};

/// @brief Name of @p kind in messages.
std::string_view wireName(ConfigErrorKind kind);

/// @brief Formats the error as one line: `file:line: key: kind: found ..., allowed ...`.
std::string toText(const ConfigError &error);

} // namespace agatedoor
