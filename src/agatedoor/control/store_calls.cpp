#include "store_calls.hpp"

#include "agatedoor/base/enum_names.hpp"
#include "agatedoor/wire/log.hpp"

#include <algorithm>
#include <utility>

namespace agatedoor {

namespace {

constexpr std::array callNames{
    std::pair{StoreCall::ReadContacts, std::string_view{"read-contacts"}},     std::pair{StoreCall::GrantLease, std::string_view{"grant-lease"}},
    std::pair{StoreCall::PutContact, std::string_view{"put-contact"}},         std::pair{StoreCall::KeepLease, std::string_view{"keep-lease"}},
    std::pair{StoreCall::RemoveContact, std::string_view{"remove-contact"}},   std::pair{StoreCall::ReadHead, std::string_view{"read-head"}},
    std::pair{StoreCall::WatchHead, std::string_view{"watch-head"}},           std::pair{StoreCall::ReadBundle, std::string_view{"read-bundle"}},
    std::pair{StoreCall::ReadDepartures, std::string_view{"read-departures"}}, std::pair{StoreCall::PutDepartures, std::string_view{"put-departures"}},
    std::pair{StoreCall::ReadTrial, std::string_view{"read-trial"}},           std::pair{StoreCall::AskForTrial, std::string_view{"ask-for-trial"}},
    std::pair{StoreCall::GiveTrialBack, std::string_view{"give-trial-back"}},
};
static_assert(callNames.size() == storeCallCount);

} // namespace

std::string_view wireName(StoreCall call)
{
    return enumName(callNames, call);
}

bool isAnswered(StoreErrorKind error)
{
    return error == StoreErrorKind::Rejected || error == StoreErrorKind::Restored;
}

StoreCalls::StoreCalls(NodeState &node, PeerSync &peers, std::function<StoreEra()> newestEra)
    : m_node(node)
    , m_peers(peers)
    , m_newestEra(std::move(newestEra))
{
}

void StoreCalls::count(StoreCall call)
{
    ++m_calls.at(static_cast<std::size_t>(call));
}

std::array<std::uint64_t, storeCallCount> StoreCalls::counts() const
{
    std::array<std::uint64_t, storeCallCount> counts{};
    std::copy(m_calls.begin(), m_calls.end(), counts.begin());
    return counts;
}

bool StoreCalls::record(StoreCall call, const std::optional<StoreError> &error)
{
    count(call);
    const bool failed = error && !isAnswered(error->kind);
    m_reachable = !failed;
    if (m_storeLost.exchange(failed) != failed) {
        logLine(failed ? LogLevel::Warn : LogLevel::Info, failed ? "store-lost" : "store-regained", {{"call", std::string(wireName(call))}});
    }
    noteEra(call);
    if (error) {
        ++m_failures;
        logLine(LogLevel::Warn, "store-call-failed", {{"call", std::string(wireName(call))}, {"error", std::string(wireName(error->kind))}});
    }
    return !error;
}

/// Takes over the era that replies of the store name. Peers learn it with the next messages.
void StoreCalls::noteEra(StoreCall call)
{
    const StoreEra era = m_newestEra();
    if (m_node.storeEra.raise(era)) {
        logLine(LogLevel::Info, "store-era", {{"era", static_cast<std::int64_t>(era.value)}, {"call", std::string(wireName(call))}});
        m_peers.notifyNews();
    }
}

} // namespace agatedoor
