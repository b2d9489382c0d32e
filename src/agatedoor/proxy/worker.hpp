#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/control/node_state.hpp"
#include "agatedoor/decide/candidate.hpp"
#include "agatedoor/decide/extra_attempt.hpp"
#include "agatedoor/decide/response_sizes.hpp"
#include "agatedoor/decide/response_times.hpp"
#include "agatedoor/decide/retry_budget.hpp"
#include "agatedoor/decide/traffic_budget.hpp"
#include "connection_pool.hpp"
#include "metrics.hpp"

#include <unordered_map>
#include <vector>

/// @brief State of one request thread.
namespace agatedoor {

/// @brief Event loop, connections and estimates of one request thread. Not shared between threads, except for the node's state.
struct Worker
{
    Worker(NodeState &shared, int number)
        : node(shared)
        , index(number)
    {
    }

    NodeState &node;
    int index; ///< Counted from 0; used as a label of metrics.
    asio::io_context context{1};
    ConnectionPool peers; ///< Connections to other nodes.
    ConnectionPool backends; ///< Connections to backend servers on this VM.
    Random random = entropyRandom();
    std::size_t turn = 0; ///< Next position of the round-robin routing policy.
    std::vector<Candidate> candidates; ///< Reused buffer for routing decisions.
    TrafficBudget traffic; ///< This thread's share of the link budgets.
    std::unordered_map<ServiceName, RetryBudget> retryBudgets; ///< Per service, so that one service cannot spend the tokens that another has earned.
    std::unordered_map<ServiceName, ExtraAttemptBudget> extraAttempts; ///< Per service; empty while the operator asks for none.
    ResponseTimes responseTimes; ///< Of idempotent requests.
    ResponseSizes responseSizes; ///< Of all responses that reached this thread.
    Metrics metrics;
};

} // namespace agatedoor
