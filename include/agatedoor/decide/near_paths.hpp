#pragma once

#include "agatedoor/base/units.hpp"
#include "agatedoor/decide/candidate.hpp"
#include "agatedoor/decide/locality_penalties.hpp"

#include <span>

/// @brief Keeps large transfers on near paths while a near backend server has room.
///
/// Answers the pattern of large responses that cross zones and regions although room is nearer. The added cost of distance has an upper
/// bound, so beyond some size a small gain in response time outweighs any number of bytes. From that size on, a farther backend server is
/// used only when no nearer one has a free slot.
namespace agatedoor {

/// @brief True when @p candidate can run a request at once, as far as this node knows.
bool hasRoom(const Candidate &candidate, TimePoint now);

/// @brief Excludes the candidates to which a request that transfers @p bytes isn't sent.
/// These are the ones farther away than the nearest candidate with room, in localities whose cost is at its upper bound, and then also the
/// ones without room beside that candidate. Full ones nearer than it stay: waiting there may cost less than the way. Excludes none when no
/// candidate has room, so that there is always a choice.
/// @return number of candidates that were excluded
int keepNear(std::span<Candidate> candidates, Bytes bytes, TimePoint now, const LocalityPenaltyOptions &options = {});

} // namespace agatedoor
