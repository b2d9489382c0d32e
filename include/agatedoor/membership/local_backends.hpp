#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/base/time_of_day.hpp"
#include "agatedoor/membership/departures.hpp"
#include "agatedoor/membership/member.hpp"
#include "agatedoor/state/gate.hpp"
#include "agatedoor/state/snapshot.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

/// @brief Backend servers on this VM, as announced to this node.
namespace agatedoor {

/// @brief Orders the announcements of one backend server: first by the process that sent them, then by their number.
struct AnnouncementVersion
{
    UnixTime born; ///< Start time of the backend server process; 0 when not given.
    std::int64_t sequence = 0; ///< Grows with each announcement of a process; 0 when not given.
};

/// @brief A backend server's announcement of itself.
struct Announcement
{
    BackendRecord record;
    Endpoint endpoint; ///< Address at which the owning node reaches it.
    AnnouncementVersion version;
    Duration coldLeft{0}; ///< How much longer it stays cold.
};

/// @brief One backend server on this VM, as last announced.
struct LocalBackend
{
    BackendRecord record;
    Endpoint endpoint; ///< Loopback address of the backend server.
    AnnouncementVersion version;
    std::shared_ptr<Gate> gate;
};

/// @brief The record of @p backend that is sent to the fleet. It is marked as draining while connects to @p backend keep failing.
BackendRecord recordForFleet(const LocalBackend &backend);

/// @brief Backend servers on this VM by id.
struct LocalBackends
{
    std::map<BackendId, LocalBackend> backends;
};

/// @brief Why an announcement was refused.
enum class AnnounceError {
    BadSlots,
    BadConnections,
    BadService,
    Stale, ///< It comes from an older or withdrawn process, or was overtaken by a later announcement; the known state is kept.
};

/// @brief Name of @p error in responses.
std::string_view wireName(AnnounceError error);

/// @brief Result of draining or withdrawing a backend server.
enum class LeaveEffect {
    Left, ///< It was known and takes no new requests from now on.
    Remembered, ///< It was unknown; a later announcement of a process that started before now gives it no requests.
};

/// @brief Name of @p effect in logs.
std::string_view wireName(LeaveEffect effect);

/// @brief Manages the local backend servers; only this class changes them.
class LocalBackendController
{
public:
    /// @brief Adds a backend server or replaces its announcement. The gate is kept while the process stays the same, so that
    /// running requests stay counted.
    /// A stale announcement changes nothing; see AnnounceError::Stale. A process that was drained stays draining whatever it
    /// announces.
    Result<Done, AnnounceError> announce(const Announcement &announcement, const ClockReading &now);
    /// @brief Stops new requests to a backend server, even if it isn't known yet.
    LeaveEffect drain(const BackendId &backend, const ClockReading &now);
    /// @brief Removes a backend server, even if it isn't known yet, and refuses later announcements of its processes so far.
    LeaveEffect withdraw(const BackendId &backend, const ClockReading &now);
    /// @brief Applies departures, kept by the fleet, that an earlier process of this node or another node acknowledged.
    /// @return the departures that were new
    std::vector<Departure> applyDepartures(const std::vector<Departure> &departures, TimePoint now);
    /// @brief Drains the backend servers that said in an answer that they leave (Gate::saidItLeaves).
    /// @return the departures that were new
    std::vector<Departure> applySaidLeaves(const ClockReading &now);
    /// @brief Departures that this node, and its next process, must apply.
    std::vector<Departure> departures(TimePoint now) const;
    /// @brief Removes the backend servers whose last announcement is older than @p since; returns their ids.
    std::vector<BackendId> forgetSilent(TimePoint since);

    std::shared_ptr<const LocalBackends> current() const { return m_backends.current(); }

    /// @brief Called after each change, on the thread that made it.
    void onChange(std::function<void()> listener) { m_listener = std::move(listener); }

private:
    bool isStale(const Announcement &announcement, const LocalBackends &known, TimePoint now) const;
    void recordLeaving(const BackendId &backend, DepartureStep step, UnixTime born, const ClockReading &now);
    LeaveEffect leave(const BackendId &backend, DepartureStep step, const ClockReading &now);
    void stopBackend(LocalBackends &backends, const BackendId &backend, DepartureStep step);
    void publish(LocalBackends next);
    std::shared_ptr<Gate> gateOf(const BackendRecord &record);
    std::shared_ptr<Gate> newGate(const BackendRecord &record);

    mutable std::mutex m_publishing;
    Snapshot<LocalBackends> m_backends;
    std::map<BackendId, TimePoint> m_lastAnnouncedAt;
    Departures m_departures;
    std::map<BackendId, std::weak_ptr<Gate>> m_gates; ///< Lets a backend server that returns reuse its gate while requests to it still run.
    std::function<void()> m_listener;
};

} // namespace agatedoor
