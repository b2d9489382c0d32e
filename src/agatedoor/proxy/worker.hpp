#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/control/node_state.hpp"
#include "agatedoor/decide/candidate.hpp"
#include "agatedoor/decide/quantile_estimate.hpp"
#include "agatedoor/decide/retry_budget.hpp"
#include "agatedoor/decide/traffic_budget.hpp"
#include "connection_pool.hpp"
#include "metrics.hpp"

#include <unordered_map>
#include <vector>

/// @brief One request thread with what only it uses.
namespace agatedoor {

struct Worker
{
    Worker(NodeState &shared, int number)
        : node(shared)
        , index(number)
    {
    }

    NodeState &node;
    int index; ///< From 0, for labels.
    asio::io_context context{1};
    ConnectionPool peers; ///< Connections to other nodes.
    ConnectionPool backends; ///< Connections to backend servers on this VM.
    Random random = entropyRandom();
    std::size_t turn = 0; ///< Of the round-robin baseline.
    std::vector<Candidate> candidates; ///< Scratch space of a routing decision.
    TrafficBudget traffic; ///< This thread's share of the link budgets.
    std::unordered_map<ServiceName, RetryBudget> retryBudgets; ///< Of each service, so that one can't spend what another has put in.
    std::unordered_map<ServiceName, QuantileEstimate> tails; ///< High quantile of each service's answer time.
    std::unordered_map<ServiceName, std::int64_t> answerBytes; ///< Average size of each service's answers.
    Metrics metrics;
};

} // namespace agatedoor
