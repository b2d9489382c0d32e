#include "agatedoor/membership/peer_message.hpp"

#include "member_codec.hpp"

#include <algorithm>
#include <chrono>

namespace agatedoor {

namespace {

/// Encoded size without the strings, in bytes, of a member record, a backend server and a departure.
constexpr std::size_t memberOverhead = 48;
constexpr std::size_t backendOverhead = 28;
constexpr std::size_t departureOverhead = 16;
constexpr std::size_t maxContentBytes = 64; ///< Of a request's digest.
constexpr std::uint32_t maxTrials = 1000; ///< Higher counts in messages are read as this.
constexpr std::uint64_t maxToldMicroseconds = 3'600'000'000; ///< Longer times in messages are read as this.
constexpr std::uint32_t maxQuotaMs = 600'000; ///< Longest time told of a quota.

messages::Head encodeHeadRecord(const HeadRecord &head)
{
    messages::Head message;
    message.set_generation(head.generation.value);
    message.set_digest(head.digest.value);
    message.set_operation(head.operation.value);
    message.set_operator_name(head.operatorName);
    return message;
}

void encodeUpdate(const MemberUpdate &update, messages::MemberUpdate &message)
{
    encodeMember(update.record, *message.mutable_member());
    message.set_status(static_cast<std::uint32_t>(update.status));
}

std::optional<MemberUpdate> decodeUpdate(const messages::MemberUpdate &message)
{
    auto record = decodeMember(message.member());
    if (!record || message.status() > static_cast<std::uint32_t>(MemberStatus::Dead)) {
        return std::nullopt;
    }
    return MemberUpdate{std::move(*record), static_cast<MemberStatus>(message.status())};
}

void encodeEnd(const BackendEndNews &end, messages::BackendEnd &message)
{
    message.set_id(end.id.value);
    message.set_forget_after_ms(static_cast<std::uint64_t>(end.forgetAfter.count()));
    for (const auto &request : end.requests) {
        auto &encoded = *message.add_requests();
        encoded.set_content(request.content.value);
        encoded.set_answered_since(request.answeredSince);
        encoded.set_trials(static_cast<std::uint32_t>(request.trials));
        encoded.set_next_trial_in_ms(static_cast<std::uint32_t>(request.nextTrialIn.count()));
    }
}

BackendEndNews decodeEnd(const messages::BackendEnd &message)
{
    const std::uint64_t longest = std::chrono::duration_cast<std::chrono::milliseconds>(BackendEndOptions{}.retention).count();
    const auto bounded = [longest](std::uint64_t millis) { return std::chrono::milliseconds(std::min(millis, longest)); };
    BackendEndNews end;
    end.id = {message.id()};
    end.forgetAfter = bounded(message.forget_after_ms());
    for (const auto &request : message.requests()) {
        if (request.content().size() > maxContentBytes) {
            continue;
        }
        const auto trials = static_cast<int>(std::min<std::uint32_t>(request.trials(), maxTrials));
        end.requests.push_back({{request.content()}, request.answered_since(), trials, bounded(request.next_trial_in_ms())});
    }
    return end;
}

void encodeConfirmation(const HeadConfirmationNews &confirmation, messages::HeadConfirmation &message)
{
    message.set_generation(confirmation.generation.value);
    message.set_since_question_us(confirmation.sinceQuestion.count());
    message.set_revision(confirmation.position.revision);
    message.set_era(confirmation.position.era.value);
    for (const auto &zone : confirmation.evacuated) {
        message.add_evacuated_zones(zone.value);
    }
}

HeadConfirmationNews decodeConfirmation(const messages::HeadConfirmation &message)
{
    constexpr auto longest = static_cast<std::int64_t>(maxToldMicroseconds);
    HeadConfirmationNews confirmation;
    confirmation.generation = {message.generation()};
    confirmation.sinceQuestion = std::chrono::microseconds(std::clamp<std::int64_t>(message.since_question_us(), -longest, longest));
    confirmation.position = {message.revision(), {message.era()}};
    for (const auto &zone : message.evacuated_zones()) {
        confirmation.evacuated.insert({zone});
    }
    return confirmation;
}

void encodeQuota(const PeerMessage &message, messages::PeerMessage &encoded)
{
    if (message.granterTime.process != 0) {
        encoded.mutable_granter_time()->set_process(message.granterTime.process);
        encoded.mutable_granter_time()->set_at_us(message.granterTime.at.count());
    }
    encoded.set_loan_ms(static_cast<std::uint32_t>(message.loan.count()));
    encoded.set_token_time_ms(static_cast<std::uint32_t>(message.tokenTime.count()));
    for (const auto &need : message.needs) {
        messages::QuotaNeed &row = *encoded.add_needs();
        row.set_customer(need.customer.value);
        row.set_wanted(need.wanted);
        row.set_reserve(need.reserve);
        row.set_returned(need.returned);
        row.set_used(need.used);
    }
    for (const auto &grant : message.grants) {
        messages::QuotaGrant &row = *encoded.add_grants();
        row.set_customer(grant.customer.value);
        row.set_tokens(grant.tokens);
        row.set_next_in_ms(static_cast<std::uint32_t>(grant.nextIn.count()));
    }
}

void decodeQuota(const messages::PeerMessage &encoded, PeerMessage &message)
{
    constexpr std::int64_t latestUs = std::chrono::duration_cast<std::chrono::microseconds>(BootTime::max().time_since_epoch()).count() / 2;
    message.granterTime = {encoded.granter_time().process(), std::chrono::microseconds(std::clamp<std::int64_t>(encoded.granter_time().at_us(), 0, latestUs))};
    message.loan = std::chrono::milliseconds(std::min(encoded.loan_ms(), maxQuotaMs));
    message.tokenTime = std::chrono::milliseconds(std::min(encoded.token_time_ms(), maxQuotaMs));
    for (const auto &row : encoded.needs()) {
        message.needs.push_back({{row.customer()}, row.wanted(), row.reserve(), row.returned(), row.used()});
    }
    for (const auto &row : encoded.grants()) {
        message.grants.push_back({{row.customer()}, row.tokens(), std::chrono::milliseconds(std::min(row.next_in_ms(), maxQuotaMs))});
    }
}

} // namespace

std::string_view wireName(PeerMessageKind kind)
{
    switch (kind) {
    case PeerMessageKind::Ping:
        return "ping";
    case PeerMessageKind::PingRequest:
        return "ping-request";
    case PeerMessageKind::Ack:
        return "ack";
    case PeerMessageKind::Gossip:
        return "gossip";
    case PeerMessageKind::SyncRequest:
        return "sync-request";
    case PeerMessageKind::SyncReply:
        return "sync-reply";
    case PeerMessageKind::BundleRequest:
        return "bundle-request";
    case PeerMessageKind::BundleReply:
        return "bundle-reply";
    case PeerMessageKind::HeadQuestion:
        return "head-question";
    case PeerMessageKind::HeadAnswer:
        return "head-answer";
    case PeerMessageKind::QuotaReport:
        return "quota-report";
    case PeerMessageKind::QuotaReply:
        return "quota-reply";
    }
    return "unnamed";
}

std::string encodePeerMessage(const PeerMessage &message)
{
    messages::PeerMessage encoded;
    encoded.set_kind(static_cast<std::uint32_t>(message.kind));
    encoded.set_from(message.from.value);
    encoded.set_region(message.region.value);
    encodeEndpoint(message.replyTo, *encoded.mutable_reply_to());
    encoded.set_sequence(message.sequence);
    encoded.set_repeated_ping(message.repeatedPing);
    encoded.set_generation(message.generation.value);
    encoded.set_store_era(message.storeEra.value);
    if (message.kind == PeerMessageKind::PingRequest) {
        encodeEndpoint(message.target, *encoded.mutable_target());
    }
    encoded.set_target_node(message.targetNode.value);
    encoded.mutable_buckets()->Add(message.buckets.begin(), message.buckets.end());
    encoded.mutable_differing()->Add(message.differing.begin(), message.differing.end());
    encoded.set_more(message.more);
    for (const auto &update : message.updates) {
        encodeUpdate(update, *encoded.add_updates());
    }
    encodeDepartures(message.departures, *encoded.mutable_departures());
    encoded.set_knew_earlier_process(message.knewEarlierProcess);
    for (const auto &end : message.ends) {
        encodeEnd(end, *encoded.add_ends());
    }
    encoded.set_ends_digest(message.endsDigest);
    if (message.kind == PeerMessageKind::BundleRequest) {
        *encoded.mutable_head() = encodeHeadRecord(message.head);
        encoded.set_reads_packed_text(message.readsPackedText);
    }
    if (message.kind == PeerMessageKind::BundleReply) {
        *encoded.mutable_head() = encodeHeadRecord(message.head);
        encoded.set_text(message.text);
        encoded.set_packed_text(message.packedText);
        encoded.set_base_digest(message.baseDigest.value);
    }
    if (message.confirmationAge) {
        encoded.set_confirmation_age_us(static_cast<std::uint64_t>(message.confirmationAge->count()));
    }
    if (message.kind == PeerMessageKind::HeadAnswer) {
        encodeConfirmation(message.confirmation, *encoded.mutable_confirmation());
    }
    encodeQuota(message, encoded);
    return encoded.SerializeAsString();
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    messages::PeerMessage encoded;
    const bool parsed = encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!parsed || encoded.from().empty() || encoded.kind() > static_cast<std::uint32_t>(PeerMessageKind::QuotaReply)) {
        return std::nullopt;
    }
    PeerMessage message;
    message.kind = static_cast<PeerMessageKind>(encoded.kind());
    message.from = {encoded.from()};
    message.region = {encoded.region()};
    message.replyTo = decodeEndpoint(encoded.reply_to());
    message.sequence = encoded.sequence();
    message.repeatedPing = encoded.repeated_ping();
    message.generation = {encoded.generation()};
    message.storeEra = {encoded.store_era()};
    message.target = decodeEndpoint(encoded.target());
    message.targetNode = {encoded.target_node()};
    message.buckets.assign(encoded.buckets().begin(), encoded.buckets().end());
    message.differing.assign(encoded.differing().begin(), encoded.differing().end());
    message.more = encoded.more();
    for (const auto &entry : encoded.updates()) {
        auto update = decodeUpdate(entry);
        if (!update) {
            return std::nullopt;
        }
        message.updates.push_back(std::move(*update));
    }
    message.departures = decodeDepartures(encoded.departures());
    message.knewEarlierProcess = encoded.knew_earlier_process();
    for (const auto &end : encoded.ends()) {
        message.ends.push_back(decodeEnd(end));
    }
    message.endsDigest = encoded.ends_digest();
    const auto &head = encoded.head();
    message.head = {{head.generation()}, {head.digest()}, {head.operation()}, head.operator_name()};
    message.text = encoded.text();
    message.readsPackedText = encoded.reads_packed_text();
    message.packedText = encoded.packed_text();
    message.baseDigest = {encoded.base_digest()};
    if (encoded.has_confirmation_age_us()) {
        message.confirmationAge = std::chrono::microseconds(std::min(encoded.confirmation_age_us(), maxToldMicroseconds));
    }
    message.confirmation = decodeConfirmation(encoded.confirmation());
    decodeQuota(encoded, message);
    return message;
}

std::size_t sizeBound(const MemberUpdate &update)
{
    const MemberRecord &record = update.record;
    std::size_t size = memberOverhead + record.node.value.size() + record.zone.value.size() + record.region.value.size() + record.peers.address.size()
        + record.gossip.address.size();
    for (const auto &backend : record.backends) {
        size += backendOverhead + backend.backend.value.size() + backend.service.value.size();
    }
    for (const auto &departure : record.departures) {
        size += departureOverhead + departure.backend.value.size();
    }
    return size;
}

} // namespace agatedoor
