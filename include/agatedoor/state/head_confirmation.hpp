#pragma once

#include "agatedoor/base/boot_time.hpp"
#include "agatedoor/base/ids.hpp"
#include "agatedoor/state/snapshot.hpp"
#include "agatedoor/state/store.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <set>

/// @brief How current a node's knowledge of the head record is.
namespace agatedoor {

/// @brief Availability zones that the operator evacuates: their backend servers get no requests.
using EvacuatedZones = std::set<ZoneName>;

/// @brief The store's word that the head was of no newer generation than @ref generation at the time @ref at.
struct HeadConfirmation
{
    Generation generation;
    BootTime at;
    StorePosition position; ///< Of the store at that time, from which the head can be watched; revision 0 when unknown.
    NodeId from; ///< The node that told it; this node itself if it asked the store.
    EvacuatedZones evacuated = {}; ///< At the time @ref at.
};

/// @brief The newest confirmation that holds for the bundle in force, shared by the threads of a node.
class SharedHeadConfirmation
{
public:
    /// @brief Takes @p confirmation over if it is newer than the known one. One of a generation that isn't in force yet waits until it is, but for the
    /// evacuated zones, which hold at once.
    /// @return true when other zones are evacuated than before
    bool record(const HeadConfirmation &confirmation, Generation inForce);
    /// @brief Takes over what has waited for @p inForce.
    void noteInForce(Generation inForce);
    /// @brief The newest confirmation of a generation that is or was in force; none until the first.
    std::optional<HeadConfirmation> current() const;
    /// @brief Time of that confirmation; lock-free.
    std::optional<BootTime> confirmedAt() const;
    /// @brief Zones that are evacuated by the newest confirmation of any generation.
    std::shared_ptr<const EvacuatedZones> evacuated() const { return m_evacuated.current(); }
    /// @brief Time of the newest confirmation of any generation, also of one that isn't in force yet.
    std::optional<BootTime> newestAt() const;

private:
    void keepNewest(const HeadConfirmation &confirmation);
    bool publishEvacuated(const HeadConfirmation &confirmation);

    mutable std::mutex m_mutex;
    std::optional<HeadConfirmation> m_current;
    std::optional<HeadConfirmation> m_waiting; ///< Of a generation that isn't in force here yet.
    BootTime m_evacuatedAt = BootTime::min(); ///< Time of the confirmation that named the evacuated zones.
    Snapshot<EvacuatedZones> m_evacuated;
    std::atomic<BootTime> m_currentAt{BootTime::min()}; ///< Time of m_current; the earliest time without one.
};

/// @brief Time since @p confirmation at @p now; none without one.
std::optional<Duration> ageOf(const std::optional<HeadConfirmation> &confirmation, BootTime now);

} // namespace agatedoor
