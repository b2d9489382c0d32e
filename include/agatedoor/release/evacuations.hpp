#pragma once

#include "agatedoor/state/head_confirmation.hpp"
#include "agatedoor/state/store.hpp"

#include <string_view>
#include <vector>

/// @brief Reads from the store which availability zones the operator evacuates: one key a zone, behind a common prefix.
namespace agatedoor {

/// @brief Prefix of these keys in the product's own store layout. It begins with the head's key, so that one call reads or watches both.
inline constexpr std::string_view evacuationPrefix = "/agatedoor/head/evacuated/";

/// @brief The zones among @p values, whose other keys are ignored.
EvacuatedZones zonesIn(const std::vector<StoreValue> &values, std::string_view prefix);

/// @brief Applies changes in their order; those of other keys are ignored.
void applyChanges(EvacuatedZones &zones, const std::vector<StoreEvent> &events, std::string_view prefix);

/// @brief What holds after a full read.
/// A store that was restored from a copy may lack what the operator wrote since, until that is written again. So for a moment after a restore a
/// zone that was evacuated before stays so.
/// @param justRestored the read is the first of its era, or came soon after it
EvacuatedZones zonesAfterRead(EvacuatedZones read, const EvacuatedZones &known, bool justRestored);

/// @brief Begins or ends the evacuation of @p zone in the product's own store layout. Both may be repeated.
StoreResult<Done> writeEvacuation(const Store &store, const ZoneName &zone, bool evacuated, Deadline deadline);

} // namespace agatedoor
