#include "fleet_stats.hpp"

#include <numeric>

namespace agatedoor {

namespace {

std::string_view whyNoBundle(const FleetStats &stats)
{
    if (stats.store.reachable) {
        return "nothing-rolled-out";
    }
    return stats.peers.joined ? "peers-have-none" : "neither-store-nor-peers";
}

void appendMetric(std::string &text, std::string_view name, std::uint64_t value)
{
    text += "agatedoor_";
    text += name;
    text += " " + std::to_string(value) + "\n";
}

} // namespace

FleetStatsReader fleetStatsReader(const PeerSync &peers, const StoreSync &store)
{
    return [&peers, &store] { return FleetStats{peers.stats(), store.stats()}; };
}

boost::json::object dumpFleetStats(const FleetStats &stats, bool hasBundle)
{
    const PeerSyncStats &peers = stats.peers;
    const StoreSyncStats &store = stats.store;
    boost::json::object object{
        {"members", peers.members},
        {"suspects", peers.suspects},
        {"lost", peers.lost},
        {"held", peers.held},
        {"joined", peers.joined},
        {"sent_messages", peers.traffic.sentMessages},
        {"sent_bytes", peers.traffic.sentBytes},
        {"received_messages", peers.traffic.receivedMessages},
        {"received_bytes", peers.traffic.receivedBytes},
        {"connections", peers.traffic.connections},
        {"dropped_messages", peers.traffic.droppedMessages},
        {"malformed_messages", peers.malformed},
        {"overflowed_messages", peers.overflowed},
        {"bundles_fetched", peers.bundles.fetched},
        {"bundles_refused", peers.bundles.refused},
        {"bundle_bytes_sent", peers.bundles.sentBytes},
        {"store_calls", std::accumulate(store.calls.begin(), store.calls.end(), std::uint64_t{0})},
        {"store_failures", store.failures},
        {"store_reachable", store.reachable},
        {"store_contact", store.contact},
        {"store_watcher", store.watcher},
    };
    if (!hasBundle) {
        object["why_no_bundle"] = whyNoBundle(stats);
    }
    return object;
}

std::string prometheusText(const FleetStats &stats)
{
    std::string text;
    appendMetric(text, "members", stats.peers.members);
    appendMetric(text, "suspect_members", stats.peers.suspects);
    appendMetric(text, "held_members", stats.peers.held);
    appendMetric(text, "control_sent_messages_total", stats.peers.traffic.sentMessages);
    appendMetric(text, "control_sent_bytes_total", stats.peers.traffic.sentBytes);
    appendMetric(text, "control_received_messages_total", stats.peers.traffic.receivedMessages);
    appendMetric(text, "control_received_bytes_total", stats.peers.traffic.receivedBytes);
    appendMetric(text, "control_dropped_messages_total", stats.peers.traffic.droppedMessages);
    appendMetric(text, "control_malformed_messages_total", stats.peers.malformed);
    appendMetric(text, "bundle_sent_bytes_total", stats.peers.bundles.sentBytes);
    appendMetric(text, "bundles_refused_total", stats.peers.bundles.refused);
    for (std::size_t i = 0; i < storeCallCount; ++i) {
        const std::string call(wireName(static_cast<StoreCall>(i)));
        appendMetric(text, "store_calls_total{call=\"" + call + "\"}", stats.store.calls.at(i));
    }
    appendMetric(text, "store_failures_total", stats.store.failures);
    return text;
}

} // namespace agatedoor
