#include "toml_table.hpp"

#include <algorithm>
#include <sstream>

namespace agatedoor {

namespace {

std::string toTomlText(const toml::node &node)
{
    std::ostringstream stream;
    node.visit([&stream](const auto &value) { stream << value; });
    return stream.str();
}

} // namespace

Result<toml::table, ConfigError> parseToml(std::string_view text, std::string_view file)
{
    toml::parse_result parsed = toml::parse(text, file);
    if (parsed.failed()) {
        const auto &error = parsed.error();
        const int line = static_cast<int>(error.source().begin.line);
        return ConfigError{ConfigErrorKind::Syntax, std::string(file), line, "", std::string(error.description()), "TOML text"};
    }
    return std::move(parsed).table();
}

TomlTable::TomlTable(const toml::table &table, std::string file, std::string path)
    : m_table(table)
    , m_file(std::move(file))
    , m_path(std::move(path))
{
}

std::string TomlTable::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

int TomlTable::line() const
{
    return static_cast<int>(m_table.source().begin.line);
}

int TomlTable::lineOf(std::string_view key) const
{
    const toml::node *node = m_table.get(key);
    return node == nullptr ? line() : static_cast<int>(node->source().begin.line);
}

void TomlTable::reject(std::string_view key, ConfigErrorKind kind, std::string found, std::string allowed)
{
    if (!m_error) {
        m_error = ConfigError{kind, m_file, lineOf(key), pathOf(key), std::move(found), std::move(allowed)};
    }
}

const toml::node *TomlTable::find(std::string_view key)
{
    m_known.emplace_back(key);
    return m_table.get(key);
}

const toml::node *TomlTable::require(std::string_view key, std::string_view allowed)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        reject(key, ConfigErrorKind::MissingKey, "", std::string(allowed));
    }
    return node;
}

std::string TomlTable::text(std::string_view key)
{
    constexpr std::string_view allowed = "a non-empty string";
    const toml::node *node = require(key, allowed);
    if (node == nullptr) {
        return {};
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        reject(key, ConfigErrorKind::WrongType, toTomlText(*node), std::string(allowed));
        return {};
    }
    if (value->empty()) {
        reject(key, ConfigErrorKind::BadValue, "\"\"", std::string(allowed));
    }
    return *value;
}

std::string TomlTable::textOr(std::string_view key, std::string fallback)
{
    return m_table.contains(key) ? text(key) : (m_known.emplace_back(key), std::move(fallback));
}

std::int64_t TomlTable::integerOr(std::string_view key, std::int64_t fallback, std::int64_t min, std::int64_t max)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    const std::string allowed = "an integer from " + std::to_string(min) + " to " + std::to_string(max);
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        reject(key, ConfigErrorKind::WrongType, toTomlText(*node), allowed);
        return fallback;
    }
    if (*value < min || *value > max) {
        reject(key, ConfigErrorKind::BadValue, std::to_string(*value), allowed);
        return fallback;
    }
    return *value;
}

double TomlTable::numberOr(std::string_view key, double fallback, double min, double max)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    const std::string allowed = "a number from " + std::to_string(min) + " to " + std::to_string(max);
    if (!node->is_number()) {
        reject(key, ConfigErrorKind::WrongType, toTomlText(*node), allowed);
        return fallback;
    }
    const double value = node->value<double>().value_or(fallback);
    if (value < min || value > max) {
        reject(key, ConfigErrorKind::BadValue, toTomlText(*node), allowed);
        return fallback;
    }
    return value;
}

bool TomlTable::boolean(std::string_view key)
{
    constexpr std::string_view allowed = "true or false";
    const toml::node *node = require(key, allowed);
    if (node == nullptr) {
        return false;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        reject(key, ConfigErrorKind::WrongType, toTomlText(*node), std::string(allowed));
    }
    return value.value_or(false);
}

std::vector<std::string> TomlTable::texts(std::string_view key)
{
    constexpr std::string_view allowed = "an array of strings";
    std::vector<std::string> values;
    const toml::node *node = require(key, allowed);
    if (node == nullptr) {
        return values;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        reject(key, ConfigErrorKind::WrongType, toTomlText(*node), std::string(allowed));
        return values;
    }
    for (const auto &element : *array) {
        const auto value = element.value_exact<std::string>();
        if (!value) {
            reject(key, ConfigErrorKind::WrongType, toTomlText(element), std::string(allowed));
            return values;
        }
        values.push_back(*value);
    }
    return values;
}

std::vector<const toml::table *> TomlTable::tables(std::string_view key)
{
    std::vector<const toml::table *> values;
    const toml::node *node = find(key);
    if (node == nullptr) {
        return values;
    }
    const toml::array *array = node->as_array();
    const bool isArrayOfTables = array != nullptr && (array->empty() || array->is_homogeneous<toml::table>());
    if (!isArrayOfTables) {
        reject(key, ConfigErrorKind::WrongType, "another type", "an array of tables");
        return values;
    }
    for (const auto &element : *array) {
        values.push_back(element.as_table());
    }
    return values;
}

const toml::table *TomlTable::table(std::string_view key)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return nullptr;
    }
    if (!node->is_table()) {
        reject(key, ConfigErrorKind::WrongType, toTomlText(*node), "a table");
        return nullptr;
    }
    return node->as_table();
}

void TomlTable::rejectUnknownKeys()
{
    for (const auto &[key, node] : m_table) {
        const std::string_view name = key.str();
        if (std::find(m_known.begin(), m_known.end(), name) != m_known.end()) {
            continue;
        }
        std::string allowed;
        for (const auto &known : m_known) {
            allowed += (allowed.empty() ? "" : ", ") + known;
        }
        reject(name, ConfigErrorKind::UnknownKey, std::string(name), "one of " + allowed);
    }
}

} // namespace agatedoor
