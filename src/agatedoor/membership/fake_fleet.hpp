#pragma once

#include "agatedoor/membership/membership.hpp"

#include <algorithm>
#include <functional>

/// @brief Simulated network for tests: delivers peer messages between several memberships in virtual time.
namespace agatedoor::test {

struct FakeNode
{
    Membership membership;
    bool running = true; ///< False after it was killed or has left.
    bool paused = false;
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    std::vector<Departure> departures{}; ///< Departures of its earlier processes that it received.
    TimePoint sendsFrom{}; ///< Its link is busy with sending until then.
    TimePoint receivesFrom{}; ///< Its link is busy with receiving until then.
};

class FakeFleet
{
public:
    explicit FakeFleet(std::uint64_t seed)
        : m_random{seed}
    {
    }

    /// Whether messages from the first node reach the second, apart from random loss.
    std::function<bool(const MemberRecord &, const MemberRecord &)> link = [](const auto &, const auto &) { return true; };
    double loss = 0; ///< Fraction of messages lost at random.
    bool silentRestarts = false; ///< Connections to an ended process lose messages silently and are never reset, as after a power loss.
    Duration delay = std::chrono::milliseconds(2);
    double linkBytesPerSecond = 0; ///< Of each node and direction; messages use the link one after the other. 0: no limit.
    std::function<void(const MemberRecord &, const PeerMessage &)> observe = [](const auto &, const auto &) {};
    /// Further messages that a node sends when it has received one.
    std::function<std::vector<Outgoing>(FakeNode &, const PeerMessage &)> answer = [](auto &, const auto &) { return std::vector<Outgoing>{}; };

    void start(const std::string &name, const std::string &zone, const std::string &region, const std::string &service, const std::string &contact = {},
               std::optional<Incarnation> incarnation = {})
    {
        MemberRecord record;
        record.node = {name};
        record.incarnation = incarnation.value_or(Incarnation{++m_incarnation});
        record.zone = {zone};
        record.region = {region};
        record.gossip = addressOf(name);
        record.backends = {{{name + "-backend"}, {service}, {12}, {260}}};
        FakeNode &node = nodes[name];
        node = FakeNode{startMembership(options, record, now)};
        if (!contact.empty()) {
            addContacts(node.membership, {addressOf(contact)});
        }
    }

    void run(Duration time)
    {
        const TimePoint end = now + time;
        while (now < end) {
            now += step;
            deliver();
            for (auto &[name, node] : nodes) {
                if (node.running && !node.paused) {
                    send(node, tick(node.membership, now, m_random));
                }
            }
        }
    }

    /// Runs until @p condition holds. Returns the time taken, or none when it doesn't hold within @p timeout.
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration timeout)
    {
        const TimePoint start = now;
        while (now - start <= timeout) {
            if (condition()) {
                return now - start;
            }
            run(step);
        }
        return std::nullopt;
    }

    void change(const std::string &name, const std::function<void(MemberRecord &)> &edit)
    {
        FakeNode &node = nodes.at(name);
        MemberRecord self = node.membership.self;
        edit(self);
        send(node, updateSelf(node.membership, self, now, m_random));
    }

    void leave(const std::string &name)
    {
        FakeNode &node = nodes.at(name);
        send(node, leaveFleet(node.membership, now, m_random));
        node.running = false;
    }

    void inject(const std::string &to, const PeerMessage &message) { send(nodes.at(to), receive(nodes.at(to).membership, message, now, m_random)); }

    MemberStatus statusAt(const std::string &observer, const std::string &member) const
    {
        const auto &members = nodes.at(observer).membership.table.members;
        const auto found = members.find({member});
        return found == members.end() ? MemberStatus::Left : found->second.status;
    }

    /// True when every running node regards exactly the running nodes as alive and has their current records.
    bool agreed() const
    {
        for (const auto &[observer, node] : nodes) {
            for (const auto &[name, other] : nodes) {
                const auto &members = node.membership.table.members;
                const auto found = members.find({name});
                const bool seen = found != members.end() && found->second.status == MemberStatus::Alive;
                const bool counts = node.running && !node.paused;
                if (counts && seen != (other.running && !other.paused)) {
                    return false;
                }
                if (counts && seen && !(found->second.record == other.membership.self)) {
                    return false;
                }
            }
        }
        return true;
    }

    /// True when every running node other than @p member sees it with @p status.
    bool all(const std::string &member, MemberStatus status) const
    {
        for (const auto &[observer, node] : nodes) {
            if (node.running && !node.paused && observer != member && statusAt(observer, member) != status) {
                return false;
            }
        }
        return true;
    }

    /// From now on, messages over the open connections to @p name are lost.
    void silenceConnectionsTo(const std::string &name)
    {
        for (auto &[connection, incarnation] : m_connections) {
            incarnation = connection.second == name ? 0 : incarnation;
        }
    }

    std::size_t silentConnectionsTo(const std::string &name) const
    {
        return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(),
                                                      [&name](const auto &connection) { return connection.first.second == name && connection.second == 0; }));
    }

    void send(const std::string &from, const MembershipOutput &output) { send(nodes.at(from), output); }

    Random &random() { return m_random; }

    static Endpoint addressOf(const std::string &name) { return {name, 1}; }

    MembershipOptions options;
    std::map<std::string, FakeNode> nodes;
    TimePoint now{std::chrono::hours(24)};
    Duration step = std::chrono::milliseconds(50); ///< Messages are handled, and time passes, in steps of this length.

private:
    struct InFlight
    {
        std::string to;
        std::string bytes;
    };

    /// True when the connection from @p from ends at the current process of @p to; a missing connection is opened.
    bool connectionReaches(const FakeNode &from, const std::string &address, const FakeNode &to)
    {
        const auto incarnation = to.membership.self.incarnation.value;
        const auto connection = m_connections.try_emplace({from.membership.self.node.value, address}, incarnation).first;
        return !silentRestarts || connection->second == incarnation;
    }

    /// Uses a link for @p bytes from @p earliest on, after what it is busy with. Returns when it is done.
    TimePoint occupy(TimePoint &busyUntil, TimePoint earliest, std::size_t bytes) const
    {
        if (linkBytesPerSecond <= 0) {
            return earliest;
        }
        const std::chrono::duration<double> time(static_cast<double>(bytes) / linkBytesPerSecond);
        busyUntil = std::max(busyUntil, earliest) + std::chrono::duration_cast<Duration>(time);
        return busyUntil;
    }

    void send(FakeNode &from, const MembershipOutput &output)
    {
        from.departures.insert(from.departures.end(), output.departures.begin(), output.departures.end());
        for (const auto &endpoint : output.connectionsToReopen) {
            m_connections.erase({from.membership.self.node.value, endpoint.address});
        }
        for (const auto &outgoing : output.messages) {
            ++from.messages;
            from.bytes += outgoing.bytes.size();
            const auto to = nodes.find(outgoing.to.address);
            const bool passes = to != nodes.end() && connectionReaches(from, outgoing.to.address, to->second)
                && link(from.membership.self, to->second.membership.self) && uniformUnit(m_random) >= loss;
            if (passes) {
                const TimePoint sent = occupy(from.sendsFrom, now, outgoing.bytes.size());
                const TimePoint arrives = occupy(to->second.receivesFrom, sent + delay, outgoing.bytes.size());
                m_wire.emplace(arrives, InFlight{outgoing.to.address, outgoing.bytes});
            }
        }
    }

    /// Messages to a paused process are delivered when it resumes.
    void deliver()
    {
        for (auto it = m_wire.begin(); it != m_wire.end() && it->first <= now;) {
            FakeNode &node = nodes.at(it->second.to);
            if (node.paused) {
                ++it;
                continue;
            }
            const auto message = decodePeerMessage(it->second.bytes);
            it = m_wire.erase(it);
            if (node.running && message) {
                observe(node.membership.self, *message);
                send(node, receive(node.membership, *message, now, m_random));
                MembershipOutput further;
                further.messages = answer(node, *message);
                send(node, further);
            }
        }
    }

    Random m_random;
    std::uint64_t m_incarnation = 0;
    /// By source and target name: incarnation of the target when the connection was opened, or 0 once it was silenced.
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_connections;
    std::multimap<TimePoint, InFlight> m_wire;
};

} // namespace agatedoor::test
