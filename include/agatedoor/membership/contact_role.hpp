#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/base/time.hpp"

#include <cstddef>
#include <optional>

/// @brief When a node reads the contact keys of the store, and when it keeps one of its own.
///
/// Contact keys name nodes to join by. A few nodes of each availability zone keep one under a lease. Every call is paid for,
/// so a node that others can already be found by registers nothing, and one that is no longer needed lets its lease lapse.
namespace agatedoor {

/// @brief Bounds of the role.
struct ContactOptions
{
    std::size_t perZone = 3; ///< Contact keys that a zone needs.
    Duration settleTime = std::chrono::seconds(2); ///< A choice of contacts that changes sooner costs no calls; longer than a start of all.
    Duration standBack = std::chrono::seconds(5); ///< After its start a lonely node trusts that the contacts it found live.
    Duration firstPause = std::chrono::milliseconds(700); ///< Nodes that start together spread their second read over this.
    Duration lonelyRead = std::chrono::milliseconds(500); ///< Between reads of a node without peers.
    Duration contactRead = std::chrono::seconds(30); ///< Between reads of a contact, to find parts of the fleet that are apart.
};

/// @brief What a node remembers between rounds.
struct ContactRole
{
    TimePoint startedAt;
    TimePoint nextRead; ///< The epoch before the first read.
    std::optional<TimePoint> changedAt; ///< Since when being chosen and holding a key differ.
    std::size_t zoneContacts = 0; ///< Other nodes of this zone that the last read named.
    bool latestRead = false; ///< The last read saw the latest state, so that a missing contact is missing indeed.
};

/// @brief What a node sees at the start of a round.
struct ContactView
{
    bool lonely = false; ///< It knows no other node.
    bool chosen = false; ///< It is one of its zone's contacts by its view of the fleet.
    bool holding = false; ///< Its own key stands under a lease.
};

/// @brief Read to make before anything else.
enum class ContactRead {
    None,
    Recent, ///< May be some seconds old.
    Latest,
};

/// @brief Whether a read is due at @p now; if so it counts as made, and what it finds goes to noteContacts.
ContactRead dueRead(ContactRole &role, const ContactView &view, const ContactOptions &options, Random &random, TimePoint now);

/// @brief Takes in how many other nodes of the zone the store names.
void noteContacts(ContactRole &role, std::size_t zoneContacts);

/// @brief Whether the node is to keep a key of its own.
bool shouldHold(ContactRole &role, const ContactView &view, const ContactOptions &options, TimePoint now);

} // namespace agatedoor
