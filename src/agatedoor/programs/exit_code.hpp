#pragma once

/// @brief Exit codes of all programs; docs/INTERFACES.md lists them. A process that the exit watchdog ended has overdueExitCode instead.
namespace agatedoor::exit_code {

inline constexpr int ok = 0;
inline constexpr int failed = 1; ///< Failure at run time.
inline constexpr int usage = 2; ///< Invalid command line.
inline constexpr int badConfig = 3; ///< Invalid settings or bundle.
inline constexpr int conflict = 4; ///< Another roll-out came first, or the operation id was used for another bundle.
inline constexpr int unknownOutcome = 5; ///< The write may have been applied.
inline constexpr int storeFailed = 6; ///< The store failed, or the operation was abandoned: nothing was written.
inline constexpr int notSignedOff = 7; ///< No bundle with this digest is signed off.
inline constexpr int notEverywhere = 8; ///< At least one named node has an older generation in force or didn't answer.

} // namespace agatedoor::exit_code
