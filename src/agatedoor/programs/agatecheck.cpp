#include "agatedoor/state/bundle.hpp"
#include "agatedoor/state/settings.hpp"
#include "command_line.hpp"

#include <iostream>

namespace agatedoor {

namespace {

/// Prints @p error and returns the exit code for it.
int reportInvalid(const ConfigError &error)
{
    std::cerr << toText(error) << "\n";
    return exit_code::badConfig;
}

int checkBundle(const std::string &file)
{
    const auto text = readTextFile(file);
    if (!text) {
        return reportInvalid(text.error());
    }
    const auto bundle = parseBundle(text.value(), file);
    if (!bundle) {
        return reportInvalid(bundle.error());
    }
    std::cout << file << ": bundle ok, digest " << digestOf(text.value()).value << "\n";
    return exit_code::ok;
}

int checkSettings(const std::string &file)
{
    const auto settings = readSettings(file);
    if (!settings) {
        return reportInvalid(settings.error());
    }
    std::cout << file << ": settings ok\n";
    return exit_code::ok;
}

} // namespace

} // namespace agatedoor

/// @brief Validates bundle and settings files without a node or a store.
int main(int argc, char **argv)
{
    using namespace agatedoor;
    CLI::App app{"checks agatedoor bundles and settings", "agatecheck"};
    std::vector<std::string> bundles;
    std::vector<std::string> settings;
    app.add_option("--bundle", bundles, "bundle file; may be repeated");
    app.add_option("--settings", settings, "settings file; may be repeated");
    if (const auto code = parseCommandLine(app, argc, argv)) {
        return *code;
    }
    if (bundles.empty() && settings.empty()) {
        std::cerr << "nothing to check: give --bundle or --settings\n";
        return exit_code::usage;
    }
    int exitCode = exit_code::ok;
    for (const auto &file : bundles) {
        exitCode = std::max(exitCode, checkBundle(file));
    }
    for (const auto &file : settings) {
        exitCode = std::max(exitCode, checkSettings(file));
    }
    return exitCode;
}
