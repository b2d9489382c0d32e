#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/time_of_day.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// @brief Records which backend server processes were drained or withdrawn, for a limited time.
/// An announcement that was sent before its backend server left may arrive later and must not restore it. A backend server
/// that restarts under the same id is told apart from the process that left by its start time (`born`).
namespace agatedoor {

/// @brief How far a backend server's departure has come.
enum class DepartureStep {
    Draining, ///< It finishes its running requests and takes no new ones.
    Gone, ///< It was withdrawn.
};

/// @brief Name of @p step in logs.
std::string_view wireName(DepartureStep step);

/// @brief Departure of one backend server, covering all its processes up to a start time.
struct Departure
{
    BackendId backend;
    DepartureStep step = DepartureStep::Gone;
    UnixTime lastBorn; ///< Processes started at this time or earlier, by their VM's wall clock, have left.

    friend bool operator==(const Departure &, const Departure &) = default;
};

/// @brief Limits of the records kept.
struct DepartureOptions
{
    std::size_t maxEntries = 64; ///< Far more than the backend servers of one VM. When it is reached, the entry that expires first is dropped.
    Duration retention = std::chrono::seconds(30); ///< Announcements arrive late by seconds.
};

/// @brief A departure with its expiry.
struct DepartureEntry
{
    Departure departure;
    Deadline until;
};

/// @brief Recorded departures by backend server.
struct Departures
{
    std::map<BackendId, DepartureEntry> byBackend;
};

/// @brief True when @p a replaces @p b, for two departures of one backend server: it covers a later start time, or a later step at the same one.
bool supersedes(const Departure &a, const Departure &b);

/// @brief Records @p departure at @p now unless the entry of its backend server already covers it.
/// @return true when it was recorded
bool recordDeparture(Departures &departures, const Departure &departure, TimePoint now, const DepartureOptions &options = {});

/// @brief Departure step of the process of @p backend that started at @p born; none when no departure is recorded for it.
/// An unknown start time (0) may belong to any process, so it is treated as one that has left.
std::optional<DepartureStep> departureStepOf(const Departures &departures, const BackendId &backend, UnixTime born, TimePoint now);

/// @brief Removes the entries that have expired at @p now.
void removeExpired(Departures &departures, TimePoint now);

/// @brief Departures that haven't expired at @p now.
std::vector<Departure> activeDepartures(const Departures &departures, TimePoint now);

} // namespace agatedoor
