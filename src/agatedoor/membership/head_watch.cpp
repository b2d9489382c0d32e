#include "agatedoor/membership/head_watch.hpp"

namespace agatedoor {

namespace {

/// A node without peers depends on the store, once it had time to find some.
bool shouldWatchAlone(const HeadWatchState &state, const HeadWatchView &view, const HeadWatchOptions &options, TimePoint now)
{
    return state.watching || view.isContact || now >= state.startedAt + options.joinTime;
}

/// Begins to watch once the selection has lasted for the settle time, and ends with it.
bool shouldWatchAmongPeers(HeadWatchState &state, const HeadWatchView &view, const HeadWatchOptions &options, TimePoint now)
{
    if (!view.selected) {
        state.selectedSince.reset();
        return false;
    }
    state.selectedSince = state.selectedSince.value_or(now);
    return state.watching || now >= *state.selectedSince + options.settleTime;
}

/// True in the first round of a node that has joined in which it is a watcher by its own view.
bool isNewlySelected(HeadWatchState &state, const HeadWatchView &view)
{
    const bool first = view.selected && !state.wasSelected;
    state.wasSelected = state.wasSelected || view.selected;
    return first;
}

/// True when peers had time to deliver a bundle and didn't. Nobody can deliver one to the first nodes that others join through, so
/// a node that has become a contact doesn't wait. Nor does one that is selected: where all nodes start at once, every peer would
/// wait for the others.
bool mustReadItself(HeadWatchState &state, const HeadWatchView &view, const HeadWatchOptions &options, TimePoint now)
{
    const bool becameContact = view.isContact && !state.contact;
    const bool newlySelected = isNewlySelected(state, view);
    state.contact = view.isContact;
    if (view.hasBundle) {
        return false;
    }
    if (becameContact || expired(state.peersDeliverBy, now)) {
        state.peersDeliverBy = deadlineAfter(now, options.selfReadInterval);
        return true;
    }
    return newlySelected;
}

} // namespace

bool shouldReadHead(const HeadKnowledge &knowledge, TimePoint now)
{
    return !knowledge.revisionKnown || expired(knowledge.fullReadBy, now) || knowledge.inForce > knowledge.readFromStore;
}

HeadAction nextHeadAction(HeadWatchState &state, const HeadWatchView &view, const HeadWatchOptions &options, TimePoint now)
{
    if (view.isolated) {
        state.joined = false;
        state.selectedSince.reset();
        state.watching = shouldWatchAlone(state, view, options, now);
        return state.watching ? HeadAction::Watch : HeadAction::None;
    }
    if (!state.joined) {
        state.joined = true;
        state.wasSelected = false;
        state.peersDeliverBy = deadlineAfter(now, options.peerTime);
    }
    state.watching = shouldWatchAmongPeers(state, view, options, now);
    if (state.watching) {
        return HeadAction::Watch;
    }
    return mustReadItself(state, view, options, now) ? HeadAction::Read : HeadAction::None;
}

void recordFailedRead(HeadWatchState &state, TimePoint now)
{
    state.peersDeliverBy = {now};
}

} // namespace agatedoor
