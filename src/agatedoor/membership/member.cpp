#include "agatedoor/membership/member.hpp"

#include "member_codec.hpp"

#include <limits>
#include <tuple>

namespace agatedoor {

namespace {

bool hasValidPort(const messages::Endpoint &message)
{
    return message.port() <= std::numeric_limits<std::uint16_t>::max();
}

bool isUsable(const messages::Backend &message)
{
    return !message.backend().empty() && message.slots() >= 1 && message.slots() <= maxSlots && message.connections() >= 0
        && message.connections() <= maxConnections;
}

void encodeBackend(const BackendRecord &record, messages::Backend &message)
{
    message.set_backend(record.backend.value);
    message.set_service(record.service.value);
    message.set_slots(record.slots.value);
    message.set_connections(record.connections.value);
    message.set_draining(record.status == BackendStatus::Draining);
    message.set_born(record.born.value);
}

BackendRecord decodeBackend(const messages::Backend &message)
{
    BackendRecord record;
    record.backend = {message.backend()};
    record.service = {message.service()};
    record.slots = {message.slots()};
    record.connections = {message.connections()};
    record.status = message.draining() ? BackendStatus::Draining : BackendStatus::Serving;
    record.born = {message.born()};
    return record;
}

} // namespace

void encodeEndpoint(const Endpoint &endpoint, messages::Endpoint &message)
{
    message.set_address(endpoint.address);
    message.set_port(endpoint.port);
}

Endpoint decodeEndpoint(const messages::Endpoint &message)
{
    return {message.address(), static_cast<std::uint16_t>(message.port())};
}

void encodeDepartures(const std::vector<Departure> &departures, google::protobuf::RepeatedPtrField<messages::Departure> &list)
{
    for (const auto &departure : departures) {
        messages::Departure &message = *list.Add();
        message.set_backend(departure.backend.value);
        message.set_gone(departure.step == DepartureStep::Gone);
        message.set_last_born(departure.lastBorn.value);
    }
}

std::vector<Departure> decodeDepartures(const google::protobuf::RepeatedPtrField<messages::Departure> &list)
{
    std::vector<Departure> departures;
    for (const auto &message : list) {
        departures.push_back({{message.backend()}, message.gone() ? DepartureStep::Gone : DepartureStep::Draining, {message.last_born()}});
    }
    return departures;
}

bool newer(const MemberRecord &a, const MemberRecord &b)
{
    return std::tie(a.incarnation, a.version) > std::tie(b.incarnation, b.version);
}

std::string_view wireName(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return "alive";
    case MemberStatus::Suspect:
        return "suspect";
    case MemberStatus::Left:
        return "left";
    case MemberStatus::Dead:
        return "dead";
    }
    return "unnamed";
}

std::string_view wireName(BackendStatus status)
{
    return status == BackendStatus::Serving ? "serving" : "draining";
}

void encodeMember(const MemberRecord &record, messages::Member &message)
{
    message.set_node(record.node.value);
    message.set_incarnation(record.incarnation.value);
    message.set_version(record.version.value);
    message.set_zone(record.zone.value);
    message.set_region(record.region.value);
    encodeEndpoint(record.peers, *message.mutable_peers());
    encodeEndpoint(record.gossip, *message.mutable_gossip());
    message.set_stopping(record.stopping);
    for (const auto &backend : record.backends) {
        encodeBackend(backend, *message.add_backends());
    }
    encodeDepartures(record.departures, *message.mutable_departures());
}

std::string encodeMember(const MemberRecord &record)
{
    messages::Member message;
    encodeMember(record, message);
    return message.SerializeAsString();
}

std::optional<MemberRecord> decodeMember(const messages::Member &message)
{
    if (message.node().empty() || !hasValidPort(message.peers()) || !hasValidPort(message.gossip())) {
        return std::nullopt;
    }
    MemberRecord record;
    record.node = {message.node()};
    record.incarnation = {message.incarnation()};
    record.version = {message.version()};
    record.zone = {message.zone()};
    record.region = {message.region()};
    record.peers = decodeEndpoint(message.peers());
    record.gossip = decodeEndpoint(message.gossip());
    record.stopping = message.stopping();
    for (const auto &backend : message.backends()) {
        if (isUsable(backend)) {
            record.backends.push_back(decodeBackend(backend));
        }
    }
    record.departures = decodeDepartures(message.departures());
    return record;
}

std::optional<MemberRecord> decodeMember(std::string_view bytes)
{
    messages::Member message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    return decodeMember(message);
}

} // namespace agatedoor
