#include "request_content.hpp"

#include "agatedoor/proxy/headers.hpp"
#include "agatedoor/state/sha256.hpp"

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

ContentDigest contentOf(const StringRequest &request, const std::string &head)
{
    return {head + sha256Hex(head + request.body()).substr(0, bodyDigits)};
}

} // namespace agatedoor
