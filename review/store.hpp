#pragma once

#include "http.hpp"
#include "json.hpp"

#include <condition_variable>
#include <deque>
#include <memory>

/// @brief Stand-in for the platform's store. Each machine reaches it at an address of its own, so that it can turn single machines away.
namespace review {

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

/// @brief Value of a query field, without percent codes.
inline std::string queryOf(const std::string &target, const std::string &name)
{
    const std::size_t found = target.find(name + "=");
    if (found == std::string::npos) {
        return {};
    }
    const std::size_t from = found + name.size() + 1;
    std::string text = target.substr(from, target.find('&', from) - from);
    for (std::size_t at = text.find('%'); at != std::string::npos; at = text.find('%', at + 1)) {
        text.replace(at, 3, 1, static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16)));
    }
    return text;
}

class Store
{
public:
    /// Serves machine @p machine at @p address.
    bool serve(int machine, const Address &address)
    {
        auto server = std::make_unique<HttpServer>(address, [this, machine](const Message &request) { return answer(machine, request); });
        const bool started = server->start();
        m_servers.push_back(std::move(server));
        return started;
    }

    /// Writes @p text as the operator does; the return is the confirmation.
    void writeConfiguration(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        put("op/config", base64(text), 0);
    }

    /// Machines whose call waits for changes of the configuration.
    std::set<int> watchers()
    {
        const std::lock_guard lock(m_mutex);
        return m_watching;
    }

    /// Answers 503 to all calls of @p machines, and to those that wait; to the others it is as always.
    void turnAway(const std::set<int> &machines)
    {
        const std::lock_guard lock(m_mutex);
        m_turnedAway = machines;
        m_changed.notify_all();
    }

    /// Calls so far that asked for the configuration, of all machines but @p except.
    int configurationCalls(const std::set<int> &except)
    {
        const std::lock_guard lock(m_mutex);
        int calls = 0;
        for (const auto &[machine, count] : m_configurationCalls) {
            calls += except.contains(machine) ? 0 : count;
        }
        return calls;
    }

private:
    struct Item
    {
        std::string value; ///< As base64.
        std::int64_t revision = 0;
        std::int64_t createdAt = 0;
        std::int64_t lease = 0;
    };
    struct Event
    {
        std::string key;
        std::int64_t revision = 0;
        std::string text;
    };
    struct Lease
    {
        Millis ttl{0};
        Clock::time_point until;
    };

    static std::string json(int status, const std::string &body) { return responseText(status, {{"Content-Type", "application/json"}}, body); }

    static std::string itemText(const std::string &key, const Item &item)
    {
        return R"({"key":")" + key + R"(","value":")" + item.value + R"(","revision":)" + std::to_string(item.revision) + R"(,"createdAt":)"
            + std::to_string(item.createdAt) + R"(,"lease":)" + std::to_string(item.lease) + "}";
    }

    std::string atRevision() const { return R"("atRevision":)" + std::to_string(m_revision); }

    void put(const std::string &key, const std::string &value, std::int64_t lease)
    {
        Item &item = m_items[key];
        item.value = value;
        item.revision = ++m_revision;
        item.createdAt = item.createdAt == 0 ? item.revision : item.createdAt;
        item.lease = lease;
        m_events.push_back({key, m_revision, itemText(key, item)});
        m_changed.notify_all();
    }

    void remove(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            ++m_revision;
            m_events.push_back({key, m_revision, R"({"key":")" + key + R"(","revision":)" + std::to_string(m_revision) + R"(,"deleted":true})"});
            m_changed.notify_all();
        }
    }

    void expireLeases()
    {
        for (auto lease = m_leases.begin(); lease != m_leases.end();) {
            if (lease->second.until > Clock::now()) {
                ++lease;
                continue;
            }
            std::vector<std::string> keys;
            for (const auto &[key, item] : m_items) {
                if (item.lease == lease->first) {
                    keys.push_back(key);
                }
            }
            for (const auto &key : keys) {
                remove(key);
            }
            lease = m_leases.erase(lease);
        }
    }

    std::optional<std::string> answer(int machine, const Message &request)
    {
        std::unique_lock lock(m_mutex);
        const std::string target = request.second();
        m_configurationCalls[machine] += queryOf(target, "prefix") == "op/config" || queryOf(target, "key") == "op/config" ? 1 : 0;
        if (m_turnedAway.contains(machine)) {
            return json(503, "{}");
        }
        expireLeases();
        if (target.starts_with("/kv-watch")) {
            return watch(machine, target, lock);
        }
        if (target.starts_with("/kv-range")) {
            return range(queryOf(target, "prefix"));
        }
        if (target.starts_with("/kv-key")) {
            const std::string key = queryOf(target, "key");
            return m_items.contains(key) ? json(200, itemText(key, m_items[key])) : json(404, "{}");
        }
        if (target == "/kv-txn") {
            return transact(parseJson(request.body));
        }
        if (target == "/kv-lease") {
            const Millis ttl(parseJson(request.body).at("ttlMs").number);
            m_leases[++m_lastLease] = {ttl, Clock::now() + ttl};
            return json(200, R"({"lease":)" + std::to_string(m_lastLease) + R"(,"ttlMs":)" + std::to_string(ttl.count()) + "}");
        }
        if (target.starts_with("/kv-keep/")) {
            const auto lease = m_leases.find(std::atoll(target.c_str() + std::strlen("/kv-keep/")));
            if (lease == m_leases.end()) {
                return json(404, "{}");
            }
            lease->second.until = Clock::now() + lease->second.ttl;
            return json(200, R"({"ttlMs":)" + std::to_string(lease->second.ttl.count()) + "}");
        }
        return json(404, "{}");
    }

    std::string range(const std::string &prefix)
    {
        std::string items;
        for (const auto &[key, item] : m_items) {
            if (key.starts_with(prefix)) {
                items += (items.empty() ? "" : ",") + itemText(key, item);
            }
        }
        return json(200, R"({"items":[)" + items + R"(],"hasMore":false,)" + atRevision() + "}");
    }

    std::string watch(int machine, const std::string &target, std::unique_lock<std::mutex> &lock)
    {
        const std::string prefix = queryOf(target, "prefix");
        const std::int64_t after = std::atoll(queryOf(target, "after").c_str());
        const auto until = Clock::now() + Millis(std::atoll(queryOf(target, "waitMs").c_str()));
        m_watching.insert(machine);
        std::string events;
        const auto decided = [&] {
            for (const auto &event : m_events) {
                if (event.revision > after && event.key.starts_with(prefix)) {
                    events += (events.empty() ? "" : ",") + event.text;
                }
            }
            return !events.empty() || m_turnedAway.contains(machine);
        };
        m_changed.wait_until(lock, until, decided);
        m_watching.erase(machine);
        if (m_turnedAway.contains(machine)) {
            return json(503, "{}");
        }
        return json(200, R"({"events":[)" + events + "]," + atRevision() + "}");
    }

    std::string transact(const Json &body)
    {
        std::string found;
        bool holds = true;
        for (const auto &row : body.at("expect").items) {
            const std::string &key = row.at("key").text;
            const auto item = m_items.find(key);
            holds = holds && (item == m_items.end() ? 0 : item->second.revision) == row.at("revision").number;
            if (item != m_items.end()) {
                found += (found.empty() ? "" : ",") + itemText(key, item->second);
            }
        }
        if (!holds) {
            return json(412, R"({"items":[)" + found + "]}");
        }
        for (const auto &row : body.at("puts").items) {
            if (row.at("lease").number != 0 && !m_leases.contains(row.at("lease").number)) {
                return json(404, "{}");
            }
        }
        for (const auto &row : body.at("puts").items) {
            put(row.at("key").text, row.at("value").text, row.at("lease").number);
        }
        for (const auto &key : body.at("remove").items) {
            remove(key.text);
        }
        return json(200, R"({"revision":)" + std::to_string(m_revision) + "}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::map<std::int64_t, Lease> m_leases;
    std::map<int, int> m_configurationCalls;
    std::set<int> m_watching;
    std::set<int> m_turnedAway;
    std::int64_t m_revision = 100;
    std::int64_t m_lastLease = 7000;
};

} // namespace review
