#include "request_content.hpp"

#include "agatedoor/proxy/headers.hpp"
#include "agatedoor/state/sha256.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <vector>

namespace agatedoor {

namespace {

constexpr std::size_t headDigits = 16; ///< Hexadecimal digits.
constexpr std::size_t bodyDigits = 32; ///< Hexadecimal digits.

/// Fields of tracing and of the message itself, which differ whenever a request is sent.
constexpr std::array<std::string_view, 4> changingFields{"Content-Length", "Date", "traceparent", "tracestate"};

constexpr std::size_t fingerprintBodyBytes = 4096; ///< Of a longer body only the beginning is hashed.

std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Whether the field is of the message or the connection itself, or of agatedoor, and may be another one when the request is sent again.
bool differsEachTime(const http::fields::value_type &field, const EdgeHeaders &edge)
{
    switch (field.name()) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::transfer_encoding:
    case http::field::te:
    case http::field::trailer:
    case http::field::upgrade:
    case http::field::expect:
        return true;
    default:
        break;
    }
    const auto name = field.name_string();
    const auto isName = [name](std::string_view other) { return beast::iequals(name, beast::string_view(other.data(), other.size())); };
    const bool isOwn = name.size() > header::prefix.size() && beast::iequals(name.substr(0, header::prefix.size()), header::prefix);
    return isOwn || isName(edge.requestId) || isName(edge.timeLeft) || std::any_of(changingFields.begin(), changingFields.end(), isName);
}

/// @p part with its size before it, so that parts can't run into each other.
void append(std::string &text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

std::string inLowerCase(std::string_view name)
{
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

/// Names and values of the fields that are the same whenever the request is sent, in a fixed order.
std::vector<std::pair<std::string, std::string>> lastingFields(const StringRequest &request, const EdgeHeaders &edge)
{
    http::fields fields = request.base();
    header::strip(fields);
    fields.erase(edge.requestId);
    fields.erase(edge.timeLeft);
    for (const auto &name : changingFields) {
        fields.erase(beast::string_view(name.data(), name.size()));
    }
    std::vector<std::pair<std::string, std::string>> lasting;
    for (const auto &field : fields) {
        lasting.emplace_back(inLowerCase(field.name_string()), std::string(field.value()));
    }
    std::sort(lasting.begin(), lasting.end());
    return lasting;
}

} // namespace

std::string contentHeadOf(const StringRequest &request, const EdgeHeaders &edge)
{
    std::string text;
    append(text, request.method_string());
    append(text, request.target());
    for (const auto &[name, value] : lastingFields(request, edge)) {
        append(text, name);
        append(text, value);
    }
    return sha256Hex(text).substr(0, headDigits);
}

RequestFingerprint fingerprintOf(const StringRequest &request, const EdgeHeaders &edge)
{
    const auto view = [](beast::string_view text) { return std::string_view(text.data(), text.size()); };
    std::uint64_t fields = 0; // A sum, so that their order doesn't matter.
    for (const auto &field : request.base()) {
        if (!differsEachTime(field, edge)) {
            fields += hashOf(view(field.value()), hashOf(view(field.name_string())));
        }
    }
    std::uint64_t hash = hashOf(view(request.method_string()), fields);
    hash = hashOf(view(request.target()), hash);
    return {hashOf(std::string_view(request.body()).substr(0, fingerprintBodyBytes), hash + request.body().size())};
}

ContentDigest contentOf(const StringRequest &request, const std::string &head)
{
    return {head + sha256Hex(head + request.body()).substr(0, bodyDigits)};
}

} // namespace agatedoor
