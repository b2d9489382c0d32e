#include "agatedoor/wire/etcd_store.hpp"

#include "agatedoor/wire/base64.hpp"
#include "agatedoor/wire/http_call.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace agatedoor {

namespace {

namespace json = boost::json;

constexpr int statusOk = 200;
constexpr int statusServerErrors = 500;

/// End of the range of all keys that start with @p prefix.
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        auto &last = prefix.back();
        if (static_cast<unsigned char>(last) < 0xff) {
            ++last;
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

/// The gateway writes 64-bit numbers as strings; plain numbers are taken too. 0 when absent or not a number.
std::int64_t number(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        return 0;
    }
    if (value->is_int64()) {
        return value->get_int64();
    }
    const json::string *text = value->if_string();
    if (text == nullptr) {
        return 0;
    }
    std::int64_t parsed = 0;
    const char *end = text->data() + text->size();
    const auto result = std::from_chars(text->data(), end, parsed);
    return result.ec == std::errc() && result.ptr == end ? parsed : 0;
}

const json::object *member(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value == nullptr ? nullptr : value->if_object();
}

std::optional<std::string> bytesOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        return std::string();
    }
    const json::string *text = value->if_string();
    return text == nullptr ? std::nullopt : fromBase64(std::string_view(text->data(), text->size()));
}

std::optional<StoreValue> storeValue(const json::value &value)
{
    const json::object *object = value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    auto key = bytesOf(*object, "key");
    auto bytes = bytesOf(*object, "value");
    if (!key || !bytes) {
        return std::nullopt;
    }
    return StoreValue{std::move(*key), std::move(*bytes), number(*object, "mod_revision")};
}

Revision headerRevision(const json::object &reply)
{
    const json::object *header = member(reply, "header");
    return header == nullptr ? 0 : number(*header, "revision");
}

StoreError errorOf(const HttpError &error)
{
    return {error.kind == HttpErrorKind::ConnectFailed ? StoreErrorKind::Unreachable : StoreErrorKind::OutcomeUnknown, 0};
}

/// A server error may come after the write took effect; a client error is a refusal.
StoreError errorOf(int status)
{
    return {status >= statusServerErrors ? StoreErrorKind::OutcomeUnknown : StoreErrorKind::Rejected, status};
}

StoreResult<json::object> parseReply(const HttpReply &reply)
{
    if (reply.status != statusOk) {
        return errorOf(reply.status);
    }
    boost::system::error_code error;
    json::value value = json::parse(reply.body, error);
    if (error || !value.is_object()) {
        return StoreError{StoreErrorKind::Malformed, reply.status};
    }
    return std::move(value.get_object());
}

/// Calls the first endpoint that accepts a connection; a call that may have arrived isn't repeated.
StoreResult<json::object> call(const std::vector<Endpoint> &endpoints, std::string target, const json::object &body, Deadline deadline)
{
    const HttpRequest request{"POST", std::move(target), {{"Content-Type", "application/json"}}, json::serialize(body)};
    StoreError last;
    for (const auto &endpoint : endpoints) {
        const auto reply = httpCall(endpoint, request, deadline);
        if (reply) {
            return parseReply(reply.value());
        }
        last = errorOf(reply.error());
        if (last.kind != StoreErrorKind::Unreachable) {
            break;
        }
    }
    return last;
}

StoreError malformed()
{
    return {StoreErrorKind::Malformed, statusOk};
}

/// Adds the values of a range answer; false when one can't be read.
bool takeValues(const json::object &reply, std::vector<StoreValue> &values)
{
    const json::value *entries = reply.if_contains("kvs");
    if (entries == nullptr) {
        return true;
    }
    if (!entries->is_array()) {
        return false;
    }
    for (const auto &entry : entries->get_array()) {
        auto value = storeValue(entry);
        if (!value) {
            return false;
        }
        values.push_back(std::move(*value));
    }
    return true;
}

/// @param extra field that is set besides key and end
StoreResult<RangeReply> range(const std::vector<Endpoint> &endpoints, const std::string &prefix, std::optional<std::string_view> extra, Deadline deadline)
{
    json::object body{{"key", toBase64(prefix)}, {"range_end", toBase64(prefixEnd(prefix))}};
    if (extra) {
        body[*extra] = true;
    }
    BOOST_OUTCOME_TRY(const json::object reply, call(endpoints, "/v3/kv/range", body, deadline));
    RangeReply result;
    result.revision = headerRevision(reply);
    if (result.revision <= 0 || !takeValues(reply, result.values)) {
        return malformed();
    }
    return result;
}

json::object compareOf(const StoreCondition &condition)
{
    return {{"key", toBase64(condition.key)}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(condition.modRevision)}};
}

json::object compareValueOf(const StoreCondition &condition)
{
    return {{"key", toBase64(condition.key)}, {"target", "VALUE"}, {"result", "EQUAL"}, {"value", toBase64(*condition.value)}};
}

json::object putOf(const StorePut &put)
{
    json::object request{{"key", toBase64(put.key)}, {"value", toBase64(put.value)}};
    if (put.lease != 0) {
        request["lease"] = std::to_string(put.lease);
    }
    return {{"request_put", std::move(request)}};
}

json::object removeOf(const std::string &key)
{
    return {{"request_delete_range", json::object{{"key", toBase64(key)}}}};
}

json::object readOf(const std::string &key)
{
    return {{"request_range", json::object{{"key", toBase64(key)}}}};
}

json::object transactionBody(const StoreTransaction &transaction)
{
    json::array compares;
    for (const auto &condition : transaction.conditions) {
        compares.push_back(compareOf(condition));
        if (condition.value) {
            compares.push_back(compareValueOf(condition));
        }
    }
    json::array writes;
    for (const auto &put : transaction.puts) {
        writes.push_back(putOf(put));
    }
    for (const auto &key : transaction.removes) {
        writes.push_back(removeOf(key));
    }
    json::object body{{"compare", std::move(compares)}, {"success", std::move(writes)}};
    json::array reads;
    for (const auto &key : transaction.readsOnConflict) {
        reads.push_back(readOf(key));
    }
    if (!reads.empty()) {
        body["failure"] = std::move(reads);
    }
    return body;
}

/// Adds what a refused transaction read; false when the answer lacks one of the reads.
bool takeReads(const json::object &reply, std::size_t expected, std::vector<StoreValue> &values)
{
    const json::value *responses = reply.if_contains("responses");
    if (responses == nullptr || !responses->is_array()) {
        return expected == 0;
    }
    std::size_t seen = 0;
    for (const auto &response : responses->get_array()) {
        const json::object *object = response.if_object();
        const json::object *read = object == nullptr ? nullptr : member(*object, "response_range");
        if (read == nullptr || !takeValues(*read, values)) {
            return false;
        }
        ++seen;
    }
    return seen == expected;
}

StoreResult<TransactionReply> transact(const std::vector<Endpoint> &endpoints, const StoreTransaction &transaction, Deadline deadline)
{
    BOOST_OUTCOME_TRY(const json::object reply, call(endpoints, "/v3/kv/txn", transactionBody(transaction), deadline));
    const json::value *succeeded = reply.if_contains("succeeded");
    TransactionReply result;
    result.revision = headerRevision(reply);
    if (result.revision <= 0 || (succeeded != nullptr && !succeeded->is_bool())) {
        return malformed();
    }
    result.applied = succeeded != nullptr && succeeded->get_bool();
    if (!result.applied && !takeReads(reply, transaction.readsOnConflict.size(), result.found)) {
        return malformed();
    }
    return result;
}

StoreResult<Done> removeKey(const std::vector<Endpoint> &endpoints, const std::string &key, Deadline deadline)
{
    BOOST_OUTCOME_TRYV2(auto &&, call(endpoints, "/v3/kv/deleterange", {{"key", toBase64(key)}}, deadline));
    return Done{};
}

StoreResult<Lease> grantLease(const std::vector<Endpoint> &endpoints, std::chrono::seconds timeToLive, Deadline deadline)
{
    const json::object body{{"TTL", std::to_string(timeToLive.count())}};
    BOOST_OUTCOME_TRY(const json::object reply, call(endpoints, "/v3/lease/grant", body, deadline));
    const LeaseId lease = number(reply, "ID");
    if (lease == 0) {
        return StoreError{StoreErrorKind::Malformed, statusOk};
    }
    return Lease{lease, {}};
}

StoreResult<Done> keepLease(const std::vector<Endpoint> &endpoints, const Lease &lease, Deadline deadline)
{
    const json::object body{{"ID", std::to_string(lease.id)}};
    BOOST_OUTCOME_TRY(const json::object reply, call(endpoints, "/v3/lease/keepalive", body, deadline));
    const json::object *result = member(reply, "result");
    if (result == nullptr || number(*result, "TTL") <= 0) {
        return StoreError{StoreErrorKind::Rejected, statusOk};
    }
    return Done{};
}

constexpr std::size_t maxWatchLineBytes = 16UL * 1024 * 1024; ///< As much as any other answer of the store may have.

/// Collects whole JSON lines of a watch stream.
struct WatchCollector
{
    Revision from = 0; ///< First revision that the watch asks for.
    std::string pending;
    WatchReply reply;
    bool restored = false; ///< The store is at an earlier revision than the one that was read before, so it came back from a copy.
    bool malformed = false;
    bool cancelled = false; ///< The store ended the watch; the stream may stay open.

    /// Takes a part of the stream; false once events came, the watch was ended, or the stream can't be read.
    bool take(std::string_view part)
    {
        const std::size_t searched = pending.size();
        pending += part;
        for (auto end = pending.find('\n', searched); end != std::string::npos; end = pending.find('\n')) {
            takeLine(std::string_view(pending).substr(0, end));
            pending.erase(0, end + 1);
        }
        malformed = malformed || pending.size() > maxWatchLineBytes;
        return !malformed && !cancelled && !restored && reply.events.empty();
    }

    void takeLine(std::string_view line)
    {
        boost::system::error_code error;
        const json::value value = json::parse(line, error);
        const json::object *result = error || !value.is_object() ? nullptr : member(value.get_object(), "result");
        if (result == nullptr) {
            malformed = true;
            return;
        }
        reply.revision = std::max(reply.revision, headerRevision(*result));
        restored = restored || (reply.revision != 0 && reply.revision < from - 1);
        const json::value *ended = result->if_contains("canceled");
        cancelled = cancelled || (ended != nullptr && ended->is_bool() && ended->get_bool());
        const json::value *events = result->if_contains("events");
        if (events == nullptr || !events->is_array()) {
            return;
        }
        for (const auto &event : events->get_array()) {
            takeEvent(event);
        }
    }

    void takeEvent(const json::value &event)
    {
        const json::object *object = event.if_object();
        const json::value *stored = object == nullptr ? nullptr : object->if_contains("kv");
        auto value = stored == nullptr ? std::nullopt : storeValue(*stored);
        if (!value) {
            malformed = true;
            return;
        }
        const json::value *type = object->if_contains("type");
        const bool removed = type != nullptr && type->is_string() && type->get_string() == "DELETE";
        reply.events.push_back({removed, std::move(*value)});
    }
};

/// Reads the keys that have changed since a position, each as it is now; removals are left out.
StoreResult<WatchReply> poll(const std::vector<Endpoint> &endpoints, const std::string &prefix, const StorePosition &from, Deadline deadline)
{
    BOOST_OUTCOME_TRY(RangeReply found, range(endpoints, prefix, std::nullopt, deadline));
    if (found.revision < from.revision - 1) {
        return StoreError{StoreErrorKind::Restored, statusOk};
    }
    WatchReply reply;
    reply.revision = found.revision;
    for (auto &value : found.values) {
        if (value.modRevision >= from.revision) {
            reply.events.push_back({false, std::move(value)});
        }
    }
    return reply;
}

StoreResult<WatchReply> watch(const std::vector<Endpoint> &endpoints, const std::string &prefix, const StorePosition &from, Deadline deadline,
                              const std::stop_token &stop)
{
    const json::object create{
        {"key", toBase64(prefix)},
        {"range_end", toBase64(prefixEnd(prefix))},
        {"start_revision", std::to_string(from.revision)},
    };
    const json::object body{{"create_request", create}};
    const HttpRequest request{"POST", "/v3/watch", {{"Content-Type", "application/json"}}, json::serialize(body)};
    StoreError last;
    for (const auto &endpoint : endpoints) {
        WatchCollector collector{.from = from.revision, .pending = {}, .reply = {}};
        const auto status = httpStream(
            endpoint, request, {deadline.at - watchReplyTime}, [&collector](std::string_view part) { return collector.take(part); }, stop);
        if (status && status.value() != statusOk) {
            return errorOf(status.value());
        }
        if (status && collector.restored) {
            return StoreError{StoreErrorKind::Restored, statusOk};
        }
        if (status && collector.cancelled) {
            return StoreError{StoreErrorKind::Rejected, statusOk};
        }
        if (status) {
            return collector.malformed ? StoreResult<WatchReply>(StoreError{StoreErrorKind::Malformed, statusOk}) : collector.reply;
        }
        last = errorOf(status.error());
    }
    return last;
}

} // namespace

Store makeEtcdStore(const std::vector<Endpoint> &endpoints)
{
    Store store;
    store.range = [endpoints](const std::string &prefix, Deadline deadline) { return range(endpoints, prefix, std::nullopt, deadline); };
    store.rangeStale = [endpoints](const std::string &prefix, Deadline deadline) { return range(endpoints, prefix, "serializable", deadline); };
    store.listKeys = [endpoints](const std::string &prefix, Deadline deadline) { return range(endpoints, prefix, "keys_only", deadline); };
    store.transact = [endpoints](const StoreTransaction &transaction, Deadline deadline) { return transact(endpoints, transaction, deadline); };
    store.remove = [endpoints](const std::string &key, Deadline deadline) { return removeKey(endpoints, key, deadline); };
    store.grantLease = [endpoints](std::chrono::seconds timeToLive, Deadline deadline) { return grantLease(endpoints, timeToLive, deadline); };
    store.keepLease = [endpoints](const Lease &lease, Deadline deadline) { return keepLease(endpoints, lease, deadline); };
    store.watch = [endpoints](const std::string &prefix, const StorePosition &from, Deadline deadline, const std::stop_token &stop) {
        return watch(endpoints, prefix, from, deadline, stop);
    };
    store.poll = [endpoints](const std::string &prefix, const StorePosition &from, Deadline deadline) { return poll(endpoints, prefix, from, deadline); };
    return store;
}

} // namespace agatedoor
