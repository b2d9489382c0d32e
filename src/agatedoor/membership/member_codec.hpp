#pragma once

#include "agatedoor/membership/member.hpp"
#include "agatedoor/messages/agatedoor.pb.h"

/// @brief Conversion of member records, departures and endpoints to and from protobuf messages.
namespace agatedoor {

void encodeEndpoint(const Endpoint &endpoint, messages::Endpoint &message);
Endpoint decodeEndpoint(const messages::Endpoint &message);
void encodeDepartures(const std::vector<Departure> &departures, google::protobuf::RepeatedPtrField<messages::Departure> &list);
std::vector<Departure> decodeDepartures(const google::protobuf::RepeatedPtrField<messages::Departure> &list);
void encodeMember(const MemberRecord &record, messages::Member &message);
/// @brief Decodes a record; none when @p message names no node.
std::optional<MemberRecord> decodeMember(const messages::Member &message);

} // namespace agatedoor
