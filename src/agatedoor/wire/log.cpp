#include "agatedoor/wire/log.hpp"

#include "agatedoor/decide/token_bucket.hpp"

#include <boost/json.hpp>
#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <chrono>
#include <ctime>
#include <mutex>
#include <utility>

namespace agatedoor {

namespace {

constexpr int bufferedLines = 8192;
constexpr TokenBucketOptions decisionLines{100, 200}; ///< A line takes some 30 us to write.

std::string &programName()
{
    static std::string name;
    return name;
}

log4cxx::LevelPtr log4cxxLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

log4cxx::LoggerPtr &logger()
{
    static log4cxx::LoggerPtr instance;
    return instance;
}

/// Wall-clock time as RFC 3339 with microseconds.
std::string timestamp()
{
    using namespace std::chrono;
    const auto now = system_clock::now();
    const auto fraction = duration_cast<microseconds>(now.time_since_epoch()).count() % 1'000'000;
    const std::time_t seconds = system_clock::to_time_t(now);
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::string text(40, '\0');
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    text.resize(size);
    const std::string digits = std::to_string(1'000'000 + fraction);
    return text + "." + digits.substr(1) + "Z";
}

boost::json::value jsonValue(const LogField &field)
{
    return std::visit([](const auto &value) { return boost::json::value(value); }, field.value);
}

} // namespace

void startLogging(std::string_view program, LogLevel level)
{
    programName() = program;
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout);
    const auto async = std::make_shared<log4cxx::AsyncAppender>();
    async->setBufferSize(bufferedLines);
    async->setBlocking(false);
    async->addAppender(console);
    auto root = log4cxx::Logger::getRootLogger();
    root->addAppender(async);
    root->setLevel(log4cxxLevel(level));
    logger() = root;
}

void stopLogging()
{
    log4cxx::LogManager::shutdown();
    logger().reset();
}

void logDecision(std::string_view event, std::initializer_list<LogField> fields)
{
    static std::mutex mutex;
    static TokenBucket lines = fullBucket(decisionLines, Clock::now());
    static std::int64_t leftOut = 0;
    std::int64_t before = 0;
    {
        const std::lock_guard lock(mutex);
        if (!take(lines, decisionLines, 1, Clock::now())) {
            ++leftOut;
            return;
        }
        before = std::exchange(leftOut, 0);
    }
    if (before > 0) {
        logLine(LogLevel::Info, "lines-left-out", {{"count", before}});
    }
    logLine(LogLevel::Info, event, fields);
}

void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto &log = logger();
    const auto levelPtr = log4cxxLevel(level);
    if (!log || !log->isEnabledFor(levelPtr)) {
        return;
    }
    boost::json::object line;
    line["time"] = timestamp();
    line["level"] = wireName(level);
    line["program"] = programName();
    line["event"] = event;
    for (const auto &field : fields) {
        if (field.key.empty()) {
            continue;
        }
        line[field.key] = jsonValue(field);
    }
    log->forcedLog(levelPtr, boost::json::serialize(line));
}

void logFailure(std::string_view event, const std::exception_ptr &failure)
{
    std::string what;
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        what = error.what();
    } catch (...) {
        what = "unknown exception";
    }
    logLine(LogLevel::Error, event, {{"outcome", std::string("ended")}, {"error", what}});
}

std::function<void(std::exception_ptr)> logFailures(std::string_view event)
{
    return [event](const std::exception_ptr &failure) {
        if (failure) {
            logFailure(event, failure);
        }
    };
}

} // namespace agatedoor
