#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/base/time.hpp"

#include <cstddef>
#include <optional>

/// @brief Decides when a node reads the contact keys in the store and when it registers a key of its own.
///
/// A contact key holds the address of a node through which new nodes join the fleet. A few nodes of each region keep one under
/// a lease. Every call to the store is billed, so a node registers only while its region has too few contacts and lets its lease
/// expire when it is no longer needed.
namespace agatedoor {

/// @brief Limits and intervals of the contact role.
struct ContactOptions
{
    std::size_t perRegion = 6; ///< Contact keys kept for each region, spread over its availability zones by chance.
    /// A change of the selected contacts takes effect after this time, so that brief changes cost no calls. Longer than it
    /// takes the whole fleet to start.
    Duration settleTime = std::chrono::seconds(2);
    Duration trustTime = std::chrono::seconds(5); ///< For this long after its start, an isolated node assumes that the contacts it read are alive.
    /// The second read is delayed by a random time up to this, so that nodes starting together don't all register.
    Duration secondReadSpread = std::chrono::milliseconds(700);
    Duration isolatedReadInterval = std::chrono::milliseconds(500); ///< Between reads of a node that knows no other.
    Duration contactReadInterval = std::chrono::seconds(30); ///< Between reads of a contact, to discover partitions of the fleet.
};

/// @brief State that a node keeps between rounds.
struct ContactRole
{
    TimePoint startedAt;
    TimePoint nextRead; ///< Clock epoch until the first read.
    std::optional<TimePoint> mismatchSince; ///< Since when the node has been selected without a key, or has held one without being selected.
    std::size_t regionContacts = 0; ///< Other contacts of this region found by the last read.
    bool readLatest = false; ///< The last read returned the latest state, so a contact that it lacked isn't registered.
};

/// @brief Input of one round.
struct ContactView
{
    bool isolated = false; ///< The node knows no other node.
    bool chosen = false; ///< By its own view of the fleet, the node is one of its region's contacts.
    bool registered = false; ///< The node's own key is registered under a lease.
};

/// @brief Kind of read to make at the start of a round.
enum class ContactRead {
    None,
    Recent, ///< The result may be some seconds old.
    Latest,
};

/// @brief The read that is due at @p now, if any. It is recorded as made; pass the number of contacts found to setRegionContacts().
ContactRead dueContactRead(ContactRole &role, const ContactView &view, const ContactOptions &options, Random &random, TimePoint now);

/// @brief Records how many other nodes of the region have a contact key.
void setRegionContacts(ContactRole &role, std::size_t regionContacts);

/// @brief Whether the node should have a contact key of its own.
bool shouldRegister(ContactRole &role, const ContactView &view, const ContactOptions &options, TimePoint now);

} // namespace agatedoor
