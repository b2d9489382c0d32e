#include "explain_command.hpp"

#include "exit_code.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace agatedoor {

namespace {

namespace json = boost::json;

/// One log line about the request.
struct LogEntry
{
    std::string time;
    std::string file;
    json::object line;
};

std::string stringField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

/// Appends the lines of @p file about the request; false when the file can't be read. Lines that aren't valid JSON are skipped,
/// since a log may begin or end in the middle of a line.
bool appendMatchingLines(const std::string &file, const std::string &requestId, std::vector<LogEntry> &entries)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << "explain: cannot read log file " << file << "\n";
        return false;
    }
    for (std::string line; std::getline(stream, line);) {
        boost::system::error_code error;
        json::value value = json::parse(line, error);
        if (error || !value.is_object() || stringField(value.get_object(), "request_id") != requestId) {
            continue;
        }
        entries.push_back({stringField(value.get_object(), "time"), file, std::move(value.get_object())});
    }
    return true;
}

/// Prints time, file and event, then the other fields without level, program and request id.
void print(LogEntry &entry)
{
    std::cout << entry.time << " " << entry.file << " " << stringField(entry.line, "event");
    for (const auto *omitted : {"time", "event", "level", "program", "request_id"}) {
        entry.line.stable_erase(omitted);
    }
    for (const auto &[key, value] : entry.line) {
        std::cout << " " << key << "=" << (value.is_string() ? std::string(value.get_string()) : json::serialize(value));
    }
    std::cout << "\n";
}

} // namespace

int runExplain(const Arguments &arguments)
{
    std::vector<LogEntry> entries;
    for (const auto &file : arguments.logs) {
        if (!appendMatchingLines(file, arguments.requestId, entries)) {
            return exit_code::failed;
        }
    }
    std::stable_sort(entries.begin(), entries.end(), [](const LogEntry &a, const LogEntry &b) { return a.time < b.time; });
    for (auto &entry : entries) {
        print(entry);
    }
    return entries.empty() ? exit_code::failed : exit_code::ok;
}

} // namespace agatedoor
