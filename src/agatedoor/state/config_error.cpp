#include "agatedoor/state/config_error.hpp"

namespace agatedoor {

std::string_view wireName(ConfigErrorKind kind)
{
    switch (kind) {
    case ConfigErrorKind::Unreadable:
        return "unreadable";
    case ConfigErrorKind::Syntax:
        return "syntax";
    case ConfigErrorKind::UnknownKey:
        return "unknown-key";
    case ConfigErrorKind::MissingKey:
        return "missing-key";
    case ConfigErrorKind::WrongType:
        return "wrong-type";
    case ConfigErrorKind::BadValue:
        return "bad-value";
    case ConfigErrorKind::Duplicate:
        return "duplicate";
    case ConfigErrorKind::Contradiction:
        return "contradiction";
    case ConfigErrorKind::Empty:
        return "empty";
    case ConfigErrorKind::TooLarge:
        return "too-large";
    }
    return "unnamed";
}

std::string toText(const ConfigError &error)
{
    std::string text = error.file + ":" + std::to_string(error.line) + ": ";
    if (!error.key.empty()) {
        text += error.key + ": ";
    }
    text += wireName(error.kind);
    text += ": found " + (error.found.empty() ? std::string("nothing") : error.found);
    text += ", allowed " + error.allowed;
    return text;
}

} // namespace agatedoor
