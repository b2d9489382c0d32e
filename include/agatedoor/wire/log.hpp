#pragma once

#include "agatedoor/state/settings.hpp"

#include <cstdint>
#include <exception>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

/// @brief Logs as JSON lines on standard output, written by log4cxx off the calling thread.
namespace agatedoor {

/// @brief One typed field of a log line; left out when it has no key.
struct LogField
{
    std::string_view key;
    std::variant<std::string, std::int64_t, bool> value;
};

/// @brief Starts logging; lines below @p level are dropped. To be called once, before any line is logged.
/// @param program name in every line
void startLogging(std::string_view program, LogLevel level);

/// @brief Writes what is buffered and stops logging.
void stopLogging();

/// @brief Writes a line on a decision about one request, within a bounded number of lines a second. The first line after
/// some were left out tells how many.
void logDecision(std::string_view event, std::initializer_list<LogField> fields);

/// @brief Writes one line. It never waits: when the buffer is full the line is dropped.
/// @example
///   logLine(LogLevel::Info, "bundle-in-force", {{"generation", std::int64_t{7}}});
void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// @brief Writes a line on an unexpected error.
void logFailure(std::string_view event, const std::exception_ptr &failure);

/// @brief Completion handler of a coroutine that nothing waits for: an error that leaves it is logged, where it would otherwise
/// end the process.
/// @param event name of the line; must outlive the coroutine
std::function<void(std::exception_ptr)> logFailures(std::string_view event);

} // namespace agatedoor
