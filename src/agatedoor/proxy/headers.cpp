#include "headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace agatedoor::header {

namespace {

constexpr std::size_t loadFieldCount = 5;
constexpr std::size_t paceIndex = 3; ///< The fields before it are running, waiting and slots.

constexpr std::chrono::hours longestTimeout{1};

constexpr std::array connectionFields{
    http::field::connection, http::field::keep_alive,        http::field::proxy_connection, http::field::te,
    http::field::trailer,    http::field::transfer_encoding, http::field::upgrade,          http::field::expect,
};

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

beast::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Names of the hop-by-hop fields listed in the Connection field.
std::vector<std::string> fieldsListedInConnection(const http::fields &fields)
{
    std::vector<std::string> names;
    for (const auto &token : http::token_list(fields[http::field::connection])) {
        names.emplace_back(token);
    }
    return names;
}

bool isOwnField(std::string_view name)
{
    return name.size() > prefix.size() && beast::iequals(view(name.substr(0, prefix.size())), view(prefix));
}

std::vector<std::string> ownFields(const http::fields &fields)
{
    std::vector<std::string> names;
    for (const auto &field : fields) {
        if (isOwnField(view(field.name_string()))) {
            names.emplace_back(field.name_string());
        }
    }
    return names;
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

void strip(http::fields &fields)
{
    for (const auto &name : fieldsListedInConnection(fields)) {
        fields.erase(name);
    }
    for (const auto name : connectionFields) {
        fields.erase(name);
    }
    for (const auto &name : ownFields(fields)) {
        fields.erase(name);
    }
}

std::string_view text(const http::fields &fields, std::string_view name)
{
    return view(fields[view(name)]);
}

std::optional<std::int64_t> number(const http::fields &fields, std::string_view name)
{
    return parseNumber(text(fields, name));
}

std::optional<Duration> timeLeft(const http::fields &fields, std::string_view name, Duration unit)
{
    const auto units = number(fields, name);
    if (!units) {
        return std::nullopt;
    }
    return unit * std::clamp<std::int64_t>(*units, 0, longestTimeout / unit);
}

std::optional<Duration> timeLeft(const http::fields &fields)
{
    return timeLeft(fields, timeout, std::chrono::microseconds(1));
}

std::optional<Duration> keepAliveTimeout(const http::fields &fields)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view keepAlive = view(fields[http::field::keep_alive]);
    const auto start = keepAlive.find(parameter);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view rest = keepAlive.substr(start + parameter.size());
    const auto seconds = parseNumber(rest.substr(0, rest.find_first_not_of("0123456789")));
    if (!seconds) {
        return std::nullopt;
    }
    return std::chrono::seconds(std::clamp<std::int64_t>(*seconds, 0, longestTimeout / std::chrono::seconds(1)));
}

std::optional<std::int64_t> backendPace(std::string_view load)
{
    for (std::size_t i = 0; i < paceIndex; ++i) {
        const auto comma = load.find(',');
        if (comma == std::string_view::npos) {
            return std::nullopt;
        }
        load.remove_prefix(comma + 1);
    }
    const auto pace = parseNumber(load.substr(0, load.find(',')));
    return pace && *pace > 0 ? pace : std::nullopt;
}

std::optional<Duration> coldLeft(const http::fields &fields, std::string_view name)
{
    constexpr std::int64_t longestMs = 600'000;
    const auto left = name.empty() ? std::nullopt : number(fields, name);
    return left ? std::optional<Duration>(std::chrono::milliseconds(std::clamp<std::int64_t>(*left, 0, longestMs))) : std::nullopt;
}

std::optional<double> requestRate(std::string_view text)
{
    double rate = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, rate);
    if (parsed.ec != std::errc{} || parsed.ptr != end || !std::isfinite(rate) || rate < 0) {
        return std::nullopt;
    }
    return rate;
}

std::string loadText(const LoadReport &report)
{
    std::string text;
    for (const std::int64_t number :
         {report.inFlight, report.slots, inMicroseconds(report.serviceTime).count(), inMicroseconds(report.timeAtOwner).count(), report.pacePercent}) {
        text += (text.empty() ? "" : " ") + std::to_string(number);
    }
    return text;
}

std::optional<LoadReport> parseLoad(std::string_view text)
{
    std::array<std::int64_t, loadFieldCount> numbers{};
    for (auto &number : numbers) {
        const auto end = text.find(' ');
        const auto parsed = parseNumber(text.substr(0, end));
        if (!parsed) {
            return std::nullopt;
        }
        number = *parsed;
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    if (!text.empty()) {
        return std::nullopt;
    }
    return LoadReport{numbers[0], numbers[1], std::chrono::microseconds(numbers[2]), std::chrono::microseconds(numbers[3]), numbers[4]};
}

} // namespace agatedoor::header
