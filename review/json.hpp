#pragma once

#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @brief Small JSON reader for the calls that nodes make to the stand-in store. Numbers are whole.
namespace review {

/// @brief One JSON value.
struct Json
{
    enum class Kind {
        Null,
        Number,
        Text,
        Array,
        Object,
    };

    Kind kind = Kind::Null;
    std::int64_t number = 0;
    std::string text;
    std::vector<Json> items;
    std::map<std::string, Json> fields;

    const Json &at(const std::string &key) const
    {
        static const Json none;
        const auto found = fields.find(key);
        return found == fields.end() ? none : found->second;
    }
};

/// @brief Recursive descent over one text.
class JsonReader
{
public:
    explicit JsonReader(const std::string &text)
        : m_text(text)
    {
    }

    Json read()
    {
        skipSpace();
        switch (peek()) {
        case '{':
            return readObject();
        case '[':
            return readArray();
        case '"': {
            Json value;
            value.kind = Json::Kind::Text;
            value.text = readText();
            return value;
        }
        default:
            return readWord();
        }
    }

private:
    char peek() const { return m_at < m_text.size() ? m_text[m_at] : '\0'; }

    void skipSpace()
    {
        while (m_at < m_text.size()
               && (m_text[m_at] == ' ' || m_text[m_at] == '\n' || m_text[m_at] == '\r' || m_text[m_at] == '\t' || m_text[m_at] == ',' || m_text[m_at] == ':')) {
            ++m_at;
        }
    }

    std::string readText()
    {
        std::string text;
        for (++m_at; m_at < m_text.size() && m_text[m_at] != '"'; ++m_at) {
            if (m_text[m_at] == '\\') {
                ++m_at;
            }
            text += peek();
        }
        ++m_at;
        return text;
    }

    Json readObject()
    {
        Json value;
        value.kind = Json::Kind::Object;
        ++m_at;
        for (skipSpace(); peek() == '"'; skipSpace()) {
            const std::string key = readText();
            skipSpace();
            value.fields[key] = read();
        }
        ++m_at;
        return value;
    }

    Json readArray()
    {
        Json value;
        value.kind = Json::Kind::Array;
        ++m_at;
        for (skipSpace(); peek() != ']' && peek() != '\0'; skipSpace()) {
            value.items.push_back(read());
        }
        ++m_at;
        return value;
    }

    Json readWord()
    {
        const std::size_t start = m_at;
        while (m_at < m_text.size() && std::string(",]} \n\r\t").find(m_text[m_at]) == std::string::npos) {
            ++m_at;
        }
        Json value;
        const std::string word = m_text.substr(start, m_at - start);
        if (!word.empty() && (word[0] == '-' || (word[0] >= '0' && word[0] <= '9'))) {
            value.kind = Json::Kind::Number;
            value.number = std::atoll(word.c_str());
        }
        return value;
    }

    const std::string &m_text;
    std::size_t m_at = 0;
};

inline Json parseJson(const std::string &text)
{
    return JsonReader(text).read();
}

} // namespace review
