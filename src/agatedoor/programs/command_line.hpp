#pragma once

#include "exit_code.hpp"

#include <CLI/CLI.hpp>

#include <optional>

/// @brief Command line parsing shared by all programs.
namespace agatedoor {

/// @brief Version that every program prints.
inline constexpr const char *programVersion = "0.1.0";

/// @brief Parses the command line.
/// @return the exit code when the program must end now: after an error, --help or --version
inline std::optional<int> parseCommandLine(CLI::App &app, int argc, char **argv)
{
    app.set_version_flag("--version", programVersion);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const int code = app.exit(error);
        return code == 0 ? exit_code::ok : exit_code::usage;
    }
    return std::nullopt;
}

} // namespace agatedoor
