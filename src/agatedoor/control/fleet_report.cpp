#include "fleet_report.hpp"

#include <numeric>

namespace agatedoor {

namespace {

std::string_view whyNoBundle(const FleetFigures &figures)
{
    if (figures.store.reachable) {
        return "nothing-rolled-out";
    }
    return figures.peers.joined ? "peers-have-none" : "neither-store-nor-peers";
}

void line(std::string &text, std::string_view name, std::uint64_t value)
{
    text += "agatedoor_";
    text += name;
    text += " " + std::to_string(value) + "\n";
}

} // namespace

FleetReport fleetReport(const PeerSync &peers, const StoreSync &store)
{
    return [&peers, &store] { return FleetFigures{peers.figures(), store.figures()}; };
}

boost::json::object dumpFigures(const FleetFigures &figures, bool hasBundle)
{
    const PeerSyncFigures &peers = figures.peers;
    const StoreSyncFigures &store = figures.store;
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
        {"bundles_fetched", peers.bundlesFetched},
        {"bundles_refused", peers.bundlesRefused},
        {"bundle_bytes_sent", peers.bundleBytes},
        {"store_calls", std::accumulate(store.calls.begin(), store.calls.end(), std::uint64_t{0})},
        {"store_failures", store.failures},
        {"store_reachable", store.reachable},
        {"store_contact", store.contact},
        {"store_watcher", store.watcher},
    };
    if (!hasBundle) {
        object["why_no_bundle"] = whyNoBundle(figures);
    }
    return object;
}

std::string prometheusText(const FleetFigures &figures)
{
    std::string text;
    line(text, "members", figures.peers.members);
    line(text, "suspect_members", figures.peers.suspects);
    line(text, "held_members", figures.peers.held);
    line(text, "control_sent_messages_total", figures.peers.traffic.sentMessages);
    line(text, "control_sent_bytes_total", figures.peers.traffic.sentBytes);
    line(text, "control_received_messages_total", figures.peers.traffic.receivedMessages);
    line(text, "control_received_bytes_total", figures.peers.traffic.receivedBytes);
    line(text, "control_dropped_messages_total", figures.peers.traffic.droppedMessages);
    line(text, "control_malformed_messages_total", figures.peers.malformed);
    line(text, "bundle_sent_bytes_total", figures.peers.bundleBytes);
    line(text, "bundles_refused_total", figures.peers.bundlesRefused);
    for (std::size_t i = 0; i < storeCallCount; ++i) {
        const std::string call(wireName(static_cast<StoreCall>(i)));
        line(text, "store_calls_total{call=\"" + call + "\"}", figures.store.calls.at(i));
    }
    line(text, "store_failures_total", figures.store.failures);
    return text;
}

} // namespace agatedoor
