#pragma once

#include "agatedoor/base/result.hpp"
#include "agatedoor/state/config_error.hpp"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

/// @brief Reads TOML tables and checks types, ranges and unknown keys.
namespace agatedoor {

/// @brief Parses TOML text.
Result<toml::table, ConfigError> parseToml(std::string_view text, std::string_view file);

/// @brief Reads the keys of one table and keeps the first error.
/// After an error, reading goes on with default values; check error() at the end.
class TomlTable
{
public:
    /// @param path dotted path of the table, used in errors
    TomlTable(const toml::table &table, std::string file, std::string path);

    /// @brief Non-empty string; an absent key is an error.
    std::string text(std::string_view key);
    std::string textOr(std::string_view key, std::string fallback);
    std::int64_t integerOr(std::string_view key, std::int64_t fallback, std::int64_t min, std::int64_t max);
    /// @brief Integer or floating-point number.
    double numberOr(std::string_view key, double fallback, double min, double max);
    /// @brief Boolean; an absent key is an error.
    bool boolean(std::string_view key);
    /// @brief True when the table has @p key.
    bool has(std::string_view key) const { return m_table.contains(key); }
    /// @brief Array of strings; an absent key is an error.
    std::vector<std::string> texts(std::string_view key);
    /// @brief Array of tables; empty when the key is absent.
    std::vector<const toml::table *> tables(std::string_view key);
    /// @brief Sub-table; null when the key is absent.
    const toml::table *table(std::string_view key);

    /// @brief Records an error at @p key unless there already is one.
    void reject(std::string_view key, ConfigErrorKind kind, std::string found, std::string allowed);

    /// @brief Records an error if the table has a key that was never read.
    void rejectUnknownKeys();

    const std::optional<ConfigError> &error() const { return m_error; }
    int line() const;

private:
    const toml::node *find(std::string_view key);
    const toml::node *require(std::string_view key, std::string_view allowed);
    int lineOf(std::string_view key) const;
    std::string pathOf(std::string_view key) const;

    const toml::table &m_table;
    std::string m_file;
    std::string m_path;
    std::vector<std::string> m_known;
    std::optional<ConfigError> m_error;
};

} // namespace agatedoor
