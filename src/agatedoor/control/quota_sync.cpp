#include "quota_sync.hpp"

#include "agatedoor/wire/log.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

Outgoing encoded(const QuotaMessage &message)
{
    return {message.gossip, message.message.kind, encodePeerMessage(message.message)};
}

} // namespace

QuotaSync::QuotaSync(NodeState &node)
    : m_node(node)
    , m_exchange(startQuotaExchange({}, node.incarnation.value.load(), BootClock::now()))
{
}

/// Reads the quotas of the bundle in force when that has changed.
bool QuotaSync::hasQuotas()
{
    const auto inForce = m_node.bundles.current();
    if (inForce->head.generation != m_generation) {
        m_generation = inForce->head.generation;
        m_quotas.clear();
        for (const auto &customer : customersOf(inForce->bundle)) {
            if (customer.requestsPerSecond > 0) {
                const double burst = customer.burst > 0 ? customer.burst : std::max(1.0, customer.requestsPerSecond);
                m_quotas[customerKeyOf(customer.name)] = {customer.requestsPerSecond, burst};
            }
        }
    }
    return !m_quotas.empty();
}

std::optional<Quota> QuotaSync::quotaOf(CustomerKey customer) const
{
    const auto found = m_quotas.find(customer);
    return found == m_quotas.end() ? std::nullopt : std::optional(found->second);
}

void QuotaSync::takeReply(const PeerMessage &reply)
{
    const BootTime now = BootClock::now();
    m_node.quota.update([&](QuotaStock &stock) { takeQuotaReply(m_exchange, reply, stock, now); }, now);
}

std::optional<QuotaMessage> QuotaSync::answer(const PeerMessage &report, const Membership &membership)
{
    return answerQuotaReport(
        m_exchange, membership, report, [this](CustomerKey customer) { return quotaOf(customer); }, BootClock::now());
}

std::vector<Outgoing> QuotaSync::take(const PeerMessage &message, const Membership &membership)
{
    std::vector<Outgoing> messages;
    if (message.kind == PeerMessageKind::QuotaReport && hasQuotas()) {
        if (const auto reply = answer(message, membership)) {
            messages.push_back(encoded(*reply));
        }
    } else if (message.kind == PeerMessageKind::QuotaReply) {
        takeReply(message);
    }
    return messages;
}

std::vector<Outgoing> QuotaSync::due(const Membership &membership)
{
    if (!hasQuotas()) {
        return {};
    }
    const BootTime now = BootClock::now();
    std::optional<QuotaMessage> report;
    m_node.quota.update([&](QuotaStock &stock) { report = dueQuotaReport(m_exchange, membership, stock, now); }, now);
    if (!report) {
        return {};
    }
    logGranter();
    if (report->to != membership.self.node) {
        return {encoded(*report)};
    }
    if (const auto reply = answer(report->message, membership)) {
        takeReply(reply->message);
    }
    return {};
}

void QuotaSync::logGranter()
{
    if (m_exchange.granter == m_loggedGranter) {
        return;
    }
    logLine(LogLevel::Info, "quota-granter",
            {{"granter", m_exchange.granter.value},
             {"before", m_loggedGranter.value},
             {"avoided", static_cast<std::int64_t>(m_exchange.avoided.size())},
             {"generation", static_cast<std::int64_t>(m_generation.value)}});
    m_loggedGranter = m_exchange.granter;
}

} // namespace agatedoor
