#pragma once

#include "store_calls.hpp"

#include <map>
#include <thread>

/// @brief Asks the store for the trials of refused requests, so that all nodes together make no more than are numbered.
namespace agatedoor {

/// @brief Works on a thread of its own, since store calls block. A granted trial is a key of the store, which lapses when the ends are forgotten.
class TrialSync
{
public:
    TrialSync(NodeState &node, const Store &store, StoreCalls &calls);
    ~TrialSync();
    TrialSync(const TrialSync &) = delete;
    TrialSync &operator=(const TrialSync &) = delete;

private:
    /// The key of a granted trial.
    struct GrantedTrial
    {
        Revision revision = 0;
        StoreEra era;
    };

    void run();
    TrialAnswer ask(const RequestTrial &trial);
    void giveBack(const RequestTrial &trial);

    NodeState &m_node;
    const Store &m_store;
    StoreCalls &m_calls;
    std::map<RequestTrial, GrantedTrial> m_granted;
    std::thread m_thread;
};

} // namespace agatedoor
