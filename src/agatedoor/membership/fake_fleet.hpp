#pragma once

#include "agatedoor/membership/membership.hpp"

#include <algorithm>
#include <functional>

/// @brief In-memory delivery of peer messages between several memberships, with virtual time, for tests.
namespace agatedoor::test {

struct FakeNode
{
    Membership membership;
    bool running = true; ///< False while killed.
    bool paused = false;
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    std::vector<Departure> departures{}; ///< Told to it of its earlier processes.
};

class FakeFleet
{
public:
    explicit FakeFleet(std::uint64_t seed)
        : m_random{seed}
    {
    }

    /// Whether a message may go from one node to another, besides random loss.
    std::function<bool(const MemberRecord &, const MemberRecord &)> link = [](const auto &, const auto &) { return true; };
    double loss = 0; ///< Share of messages lost.
    bool silentRestarts = false; ///< A connection to a process that is gone swallows messages and is never reset.
    Duration delay = std::chrono::milliseconds(2);
    std::function<void(const MemberRecord &, const PeerMessage &)> observe = [](const auto &, const auto &) {};

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
                    take(node, tick(node.membership, now, m_random));
                }
            }
        }
    }

    /// Runs until @p condition holds; the time that took, or none when it doesn't within @p patience.
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration patience)
    {
        const TimePoint start = now;
        while (now - start <= patience) {
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
        take(node, describeSelf(node.membership, self, now, m_random));
    }

    void leave(const std::string &name)
    {
        FakeNode &node = nodes.at(name);
        take(node, leaveFleet(node.membership, now, m_random));
        node.running = false;
    }

    void inject(const std::string &to, const PeerMessage &message) { take(nodes.at(to), receive(nodes.at(to).membership, message, now, m_random)); }

    MemberStatus statusAt(const std::string &observer, const std::string &member) const
    {
        const auto &members = nodes.at(observer).membership.table.members;
        const auto found = members.find({member});
        return found == members.end() ? MemberStatus::Left : found->second.status;
    }

    /// True when every running node sees exactly the running nodes, each with its present record.
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

    /// True when every running node, besides @p member itself, thinks so of it.
    bool all(const std::string &member, MemberStatus status) const
    {
        for (const auto &[observer, node] : nodes) {
            if (node.running && !node.paused && observer != member && statusAt(observer, member) != status) {
                return false;
            }
        }
        return true;
    }

    /// Each open connection to @p name swallows what is sent over it from now on.
    void silenceConnectionsTo(const std::string &name)
    {
        for (auto &[connection, life] : m_connections) {
            life = connection.second == name ? 0 : life;
        }
    }

    std::size_t silentConnectionsTo(const std::string &name) const
    {
        return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(),
                                                      [&name](const auto &connection) { return connection.first.second == name && connection.second == 0; }));
    }

    static Endpoint addressOf(const std::string &name) { return {name, 1}; }

    MembershipOptions options;
    std::map<std::string, FakeNode> nodes;
    TimePoint now{std::chrono::hours(24)};

private:
    static constexpr std::chrono::milliseconds step{50};

    struct InFlight
    {
        std::string to;
        std::string bytes;
    };

    /// True when the connection from @p from leads to the process that runs at @p to now; a missing one is opened to it.
    bool leadsTo(const FakeNode &from, const std::string &address, const FakeNode &to)
    {
        const auto life = to.membership.self.incarnation.value;
        const auto connection = m_connections.try_emplace({from.membership.self.node.value, address}, life).first;
        return !silentRestarts || connection->second == life;
    }

    void take(FakeNode &from, const MembershipOutput &output)
    {
        from.departures.insert(from.departures.end(), output.departures.begin(), output.departures.end());
        for (const auto &endpoint : output.distrusted) {
            m_connections.erase({from.membership.self.node.value, endpoint.address});
        }
        for (const auto &outgoing : output.messages) {
            ++from.messages;
            from.bytes += outgoing.bytes.size();
            const auto to = nodes.find(outgoing.to.address);
            const bool passes = to != nodes.end() && leadsTo(from, outgoing.to.address, to->second) && link(from.membership.self, to->second.membership.self)
                && uniformUnit(m_random) >= loss;
            if (passes) {
                m_wire.emplace(now + delay, InFlight{outgoing.to.address, outgoing.bytes});
            }
        }
    }

    /// A paused process finds what has arrived meanwhile when it runs on.
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
                take(node, receive(node.membership, *message, now, m_random));
            }
        }
    }

    Random m_random;
    std::uint64_t m_incarnation = 0;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_connections; ///< Incarnation at the far end when opened.
    std::multimap<TimePoint, InFlight> m_wire;
};

} // namespace agatedoor::test
