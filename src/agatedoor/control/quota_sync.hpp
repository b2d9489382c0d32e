#pragma once

#include "agatedoor/membership/quota_exchange.hpp"
#include "node_state.hpp"

#include <map>
#include <vector>

/// @brief Runs the exchange of quotas on the thread of the membership protocol, while a customer has a quota.
namespace agatedoor {

/// @brief Reports to the granter, and answers as one.
class QuotaSync
{
public:
    explicit QuotaSync(NodeState &node);

    /// @brief Takes a message of the exchange; others are ignored.
    /// @return messages to send
    std::vector<Outgoing> take(const PeerMessage &message, const Membership &membership);

    /// @brief What is due now.
    std::vector<Outgoing> due(const Membership &membership);

private:
    bool hasQuotas();
    std::optional<Quota> quotaOf(CustomerKey customer) const;
    void takeReply(const PeerMessage &reply);
    std::optional<QuotaMessage> answer(const PeerMessage &report, const Membership &membership);
    void logGranter();

    NodeState &m_node;
    QuotaExchange m_exchange;
    Generation m_generation; ///< Bundle that the quotas are of.
    std::map<CustomerKey, Quota> m_quotas;
    NodeId m_loggedGranter;
};

} // namespace agatedoor
