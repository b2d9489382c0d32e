#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/time_of_day.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// @brief Lives of backend servers that were told to be leaving, remembered for a while.
/// Announcements come late: one that was sent before its backend server left must not bring it back.
namespace agatedoor {

/// @brief How far a backend server has left.
enum class DepartureStep {
    Draining, ///< It finishes what it has and takes no new work.
    Gone, ///< It was withdrawn.
};

/// @brief Word for @p step.
std::string_view wireName(DepartureStep step);

/// @brief The lives of one backend server that have left.
struct Departure
{
    BackendId backend;
    DepartureStep step = DepartureStep::Gone;
    UnixTime lastBorn; ///< Lives that began at this time of their VM's day, or earlier, have left.

    friend bool operator==(const Departure &, const Departure &) = default;
};

/// @brief Bounds of what is remembered.
struct DepartureOptions
{
    std::size_t most = 64; ///< Backend servers on one VM are few; beyond this the one that ends first is dropped.
    Duration memory = std::chrono::seconds(30); ///< Announcements come late by seconds.
};

/// @brief A departure with the end of its memory.
struct RememberedDeparture
{
    Departure departure;
    Deadline until;
};

/// @brief What is remembered, by backend server.
struct Departures
{
    std::map<BackendId, RememberedDeparture> byBackend;
};

/// @brief Whether of two departures of one backend server @p a counts: it concerns later lives, or is a farther step of the same.
bool saysMore(const Departure &a, const Departure &b);

/// @brief Remembers @p departure from @p now on, if it says more than what is remembered of its backend server.
/// @return true when it does
bool remember(Departures &departures, const Departure &departure, TimePoint now, const DepartureOptions &options = {});

/// @brief How far the life of @p backend that began at @p born has left; none when it hasn't, as far as is remembered.
/// A life whose start isn't stated (0) may be any life, so it counts as one that has left.
std::optional<DepartureStep> departureOf(const Departures &departures, const BackendId &backend, UnixTime born, TimePoint now);

/// @brief Drops what is remembered no longer.
void forgetExpired(Departures &departures, TimePoint now);

/// @brief Departures that are remembered at @p now.
std::vector<Departure> remembered(const Departures &departures, TimePoint now);

} // namespace agatedoor
