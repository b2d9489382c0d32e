#include "stored_state.hpp"

#include "agatedoor/wire/base64.hpp"

namespace agatedoor::stand_in {

std::int64_t number(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        return 0;
    }
    return value->is_string() ? std::stoll(std::string(value->get_string())) : value->to_number<std::int64_t>();
}

std::string bytes(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value == nullptr ? std::string() : fromBase64(std::string(value->as_string())).value_or("");
}

json::object StoredState::call(const std::string &target, const json::object &body)
{
    if (target == "/v3/kv/range") {
        return range(body);
    }
    if (target == "/v3/kv/txn") {
        return transact(body);
    }
    if (target == "/v3/kv/put") {
        put(body);
        return withHeader({});
    }
    if (target == "/v3/kv/deleterange") {
        remove(bytes(body, "key"));
        return withHeader({});
    }
    if (target == "/v3/lease/grant") {
        return grant(body);
    }
    if (target == "/v3/lease/keepalive") {
        return keepAlive(body);
    }
    if (target == "/v3/lease/revoke") {
        dropLease(number(body, "ID"));
        return withHeader({});
    }
    return withHeader({});
}

json::object StoredState::withHeader(json::object reply) const
{
    reply["header"] = json::object{{"revision", std::to_string(m_revision)}};
    return reply;
}

json::object StoredState::render(const std::string &key, const std::string &value, std::int64_t modRevision)
{
    return {{"key", toBase64(key)}, {"value", toBase64(value)}, {"mod_revision", std::to_string(modRevision)}};
}

json::object StoredState::range(const json::object &body) const
{
    const std::string key = bytes(body, "key");
    const std::string end = bytes(body, "range_end");
    const bool keysOnly = body.contains("keys_only") && body.at("keys_only").as_bool();
    json::array values;
    for (auto it = m_values.lower_bound(key); it != m_values.end() && (end.empty() ? it->first == key : it->first < end); ++it) {
        values.push_back(render(it->first, keysOnly ? std::string() : it->second.value, it->second.modRevision));
    }
    return withHeader({{"kvs", std::move(values)}});
}

bool StoredState::holds(const json::object &compare) const
{
    const auto found = m_values.find(bytes(compare, "key"));
    if (compare.at("target") == "VALUE") {
        return found != m_values.end() && found->second.value == bytes(compare, "value");
    }
    const std::int64_t present = found == m_values.end() ? 0 : found->second.modRevision;
    return present == number(compare, "mod_revision");
}

json::object StoredState::transact(const json::object &body)
{
    bool all = true;
    for (const auto &compare : body.at("compare").as_array()) {
        all = all && holds(compare.as_object());
    }
    if (!all) {
        return withHeader({{"responses", readEach(body)}});
    }
    ++m_revision;
    for (const auto &operation : body.at("success").as_array()) {
        apply(operation.as_object());
    }
    return withHeader({{"succeeded", true}});
}

json::array StoredState::readEach(const json::object &body) const
{
    json::array responses;
    if (const auto *reads = body.if_contains("failure")) {
        for (const auto &read : reads->as_array()) {
            responses.push_back(json::object{{"response_range", range(read.as_object().at("request_range").as_object())}});
        }
    }
    return responses;
}

void StoredState::apply(const json::object &operation)
{
    if (const auto *put = operation.if_contains("request_put")) {
        write(put->as_object());
        return;
    }
    const std::string key = bytes(operation.at("request_delete_range").as_object(), "key");
    if (m_values.erase(key) > 0) {
        m_changes.push_back({m_revision, key, "", true});
    }
}

void StoredState::put(const json::object &body)
{
    ++m_revision;
    write(body);
}

void StoredState::write(const json::object &put)
{
    const std::string key = bytes(put, "key");
    const std::string value = bytes(put, "value");
    m_values[key] = {value, m_revision, number(put, "lease")};
    m_changes.push_back({m_revision, key, value, false});
}

void StoredState::remove(const std::string &key)
{
    if (m_values.erase(key) > 0) {
        ++m_revision;
        m_changes.push_back({m_revision, key, "", true});
    }
}

json::object StoredState::grant(const json::object &body)
{
    const std::chrono::seconds timeToLive(number(body, "TTL"));
    const std::int64_t id = ++m_lastLease;
    m_leases[id] = {timeToLive, SteadyClock::now() + timeToLive};
    return withHeader({{"ID", std::to_string(id)}, {"TTL", std::to_string(timeToLive.count())}});
}

json::object StoredState::keepAlive(const json::object &body)
{
    const auto found = m_leases.find(number(body, "ID"));
    std::int64_t timeToLive = 0;
    if (found != m_leases.end()) {
        found->second.lapsesAt = SteadyClock::now() + found->second.timeToLive;
        timeToLive = found->second.timeToLive.count();
    }
    return {{"result", json::object{{"ID", std::to_string(number(body, "ID"))}, {"TTL", std::to_string(timeToLive)}}}};
}

void StoredState::dropLease(std::int64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, value] : m_values) {
        if (value.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        remove(key);
    }
}

void StoredState::lapseLeases()
{
    const auto now = SteadyClock::now();
    std::vector<std::int64_t> lapsed;
    for (const auto &[id, lease] : m_leases) {
        if (lease.lapsesAt <= now) {
            lapsed.push_back(id);
        }
    }
    for (const auto id : lapsed) {
        dropLease(id);
    }
}

void StoredState::endAllLeases()
{
    while (!m_leases.empty()) {
        dropLease(m_leases.begin()->first);
    }
}

void StoredState::compact()
{
    m_changes.clear();
    m_oldest = m_revision + 1;
}

json::array StoredState::eventsSince(std::int64_t from, const std::string &key, const std::string &end) const
{
    json::array events;
    for (const auto &change : m_changes) {
        const bool inside = change.key >= key && (end.empty() ? change.key == key : change.key < end);
        if (change.revision >= from && inside) {
            events.push_back({{"type", change.removed ? "DELETE" : "PUT"}, {"kv", render(change.key, change.value, change.revision)}});
        }
    }
    return events;
}

} // namespace agatedoor::stand_in
