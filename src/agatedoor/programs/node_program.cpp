#include "node_program.hpp"

#include "agatedoor/wire/log.hpp"
#include "command_line.hpp"

#include <iostream>
#include <malloc.h>

namespace agatedoor {

namespace {

constexpr int largeAllocationBytes = 256 * 1024;

/// Gives the memory of large bodies back to the system as soon as they are freed. Without a fixed threshold the C library raises it with
/// each large block that is freed, and each thread then keeps tens of megabytes.
void releaseLargeAllocationsAtOnce()
{
    mallopt(M_MMAP_THRESHOLD, largeAllocationBytes);
}

} // namespace

int runNodeProgram(int argc, char **argv, const std::string &name, const std::function<NodeInterfaces(const Settings &)> &makeEdges)
{
    CLI::App app{"agatedoor node: forwards callers' requests to backend servers", name};
    std::string settingsFile;
    bool checkOnly = false;
    app.add_option("--settings", settingsFile, "TOML settings file")->required();
    app.add_flag("--check", checkOnly, "check the settings and exit");
    if (const auto code = parseCommandLine(app, argc, argv)) {
        return *code;
    }
    const auto settings = readSettings(settingsFile);
    if (!settings) {
        std::cerr << toText(settings.error()) << "\n";
        return exit_code::badConfig;
    }
    if (checkOnly) {
        return exit_code::ok;
    }
    releaseLargeAllocationsAtOnce();
    startLogging(name, settings.value().logLevel);
    const auto result = runNode(settings.value(), settingsFile, makeEdges(settings.value()));
    if (!result) {
        logLine(LogLevel::Error, "listen-failed", {{"endpoint", toText(result.error().endpoint)}});
    }
    stopLogging();
    return result ? exit_code::ok : exit_code::failed;
}

} // namespace agatedoor
