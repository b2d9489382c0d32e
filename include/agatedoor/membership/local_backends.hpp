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

/// @brief Backend servers that announced themselves to this node.
namespace agatedoor {

/// @brief Which life of a backend server speaks, and how far it has come.
struct BackendLife
{
    UnixTime born; ///< Start of the backend server; 0 when it isn't stated.
    std::int64_t sequence = 0; ///< Grows with each announcement of a life; 0 when it isn't stated.
};

/// @brief What a backend server says of itself.
struct Announcement
{
    BackendRecord record;
    Endpoint endpoint; ///< Where the owning node reaches it.
    BackendLife life;
};

/// @brief One backend server on this VM.
struct LocalBackend
{
    BackendRecord record;
    Endpoint endpoint; ///< Loopback address of the backend server.
    BackendLife life;
    std::shared_ptr<Gate> gate;
};

/// @brief What the fleet is told of @p backend: its announcement, draining while connects to it keep failing.
BackendRecord recordForFleet(const LocalBackend &backend);

/// @brief All of them by id.
struct LocalBackends
{
    std::map<BackendId, LocalBackend> backends;
};

/// @brief Why an announcement was refused.
enum class AnnounceError {
    BadSlots,
    BadConnections,
    BadService,
    Stale, ///< An older life, or an earlier announcement of this one; what is known holds.
};

/// @brief Word for @p error in answers.
std::string_view wireName(AnnounceError error);

/// @brief Whether a backend server that leaves was known.
enum class LeaveEffect {
    Left, ///< It was, and takes no new work from now on.
    Remembered, ///< It wasn't; an announcement of a life that began before now won't give it work.
};

/// @brief Word for @p effect in logs.
std::string_view wireName(LeaveEffect effect);

/// @brief Single writer of the local backend servers.
class LocalBackendController
{
public:
    /// @brief Adds a backend server, or replaces its announcement; running requests keep their gate.
    /// An announcement that is late changes nothing: of an older life, of a life that was withdrawn, or overtaken by a later one.
    /// A life that was drained is taken as draining whatever it announces.
    Result<Done, AnnounceError> announce(const Announcement &announcement, const Moment &now);
    /// @brief Stops new work for a backend server, also for one that is not known yet.
    LeaveEffect drain(const BackendId &backend, const Moment &now);
    /// @brief Forgets a backend server and keeps its lives so far from coming back, also one that is not known yet.
    LeaveEffect withdraw(const BackendId &backend, const Moment &now);
    /// @brief Takes over what an earlier process of this node, or another node, acknowledged, as the fleet remembers it.
    /// @return what was new
    std::vector<Departure> adopt(const std::vector<Departure> &departures, TimePoint now);
    /// @brief Departures that bind this node and the next process of it.
    std::vector<Departure> departures(TimePoint now) const;
    /// @brief Forgets backend servers that have not announced themselves since @p since; returns their ids.
    std::vector<BackendId> forgetSilent(TimePoint since);

    std::shared_ptr<const LocalBackends> current() const { return m_backends.current(); }

    /// @brief Called after each change, on the thread that made it.
    void onChange(std::function<void()> listener) { m_listener = std::move(listener); }

private:
    bool late(const Announcement &announcement, const LocalBackends &known, TimePoint now) const;
    void rememberLeaving(const BackendId &backend, DepartureStep step, UnixTime born, const Moment &now);
    LeaveEffect leaveAt(const BackendId &backend, DepartureStep step, const Moment &now);
    void stopWork(LocalBackends &backends, const BackendId &backend, DepartureStep step);
    void publish(LocalBackends next);
    std::shared_ptr<Gate> gateOf(const BackendRecord &record);
    std::shared_ptr<Gate> newGate(const BackendRecord &record);

    mutable std::mutex m_publishing;
    Snapshot<LocalBackends> m_backends;
    std::map<BackendId, TimePoint> m_heardAt; ///< Last announcement of each backend server.
    Departures m_departures;
    std::map<BackendId, std::weak_ptr<Gate>> m_gates; ///< A backend server that comes back keeps its gate while requests run.
    std::function<void()> m_listener;
};

} // namespace agatedoor
