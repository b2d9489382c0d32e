#include "agatedoor/membership/head_watch.hpp"

#include "agatedoor/base/random_time.hpp"

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

Duration confirmationLimit(const HeadWatchState &state, const HeadWatchView &view, const HeadWatchOptions &options)
{
    if (view.selected) {
        return options.selectedLimit + options.limitPerRank * static_cast<std::int64_t>(view.rank);
    }
    return options.otherLimit + state.limitDelay;
}

bool renewsConfirmation(const HeadWatchView &view)
{
    return view.isolated || view.isFirst;
}

void drawLimitDelay(HeadWatchState &state, const HeadWatchOptions &options, Random &random)
{
    state.limitDelay = uniformTime(random, options.otherLimitSpread);
}

std::optional<Duration> pauseOfUnselected(const HeadWatchView &view, int failed, const HeadWatchOptions &options, Random &random)
{
    if (view.isolated || view.selected || !view.hasBundle || failed == 0) {
        return std::nullopt;
    }
    return options.failurePause + uniformTime(random, options.failurePauseSpread);
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
    const bool late = view.hasBundle && view.confirmationAge >= confirmationLimit(state, view, options);
    if (state.watching) {
        return late && !renewsConfirmation(view) ? HeadAction::Confirm : HeadAction::Watch;
    }
    if (mustReadItself(state, view, options, now)) {
        return HeadAction::Read;
    }
    return late ? HeadAction::Confirm : HeadAction::None;
}

void recordFailedRead(HeadWatchState &state, TimePoint now)
{
    state.peersDeliverBy = {now};
}

} // namespace agatedoor
