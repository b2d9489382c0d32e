#include "agatedoor/state/backend_ends.hpp"

#include <algorithm>
#include <tuple>

namespace agatedoor {

namespace {

/// Takes over that more trials were made than @p known tells; true when it told fewer.
bool mergeTrials(RequestBesideEnd &known, int trials, Deadline nextAt)
{
    if (trials <= known.trials) {
        return false;
    }
    known.trials = trials;
    known.nextTrialAt = nextAt;
    return true;
}

/// Adds one request, or that it was answered or tried; true when that was new.
bool mergeRequest(BackendEnd &known, const RequestBesideEnd &request, const BackendEndOptions &options)
{
    const auto found = std::find_if(known.requests.begin(), known.requests.end(), [&](const auto &other) { return other.content == request.content; });
    if (found != known.requests.end()) {
        const bool acquitted = request.answeredSince && !found->answeredSince;
        found->answeredSince = found->answeredSince || request.answeredSince;
        return mergeTrials(*found, request.trials, request.nextTrialAt) || acquitted;
    }
    if (known.requests.size() >= options.maxRequests) {
        return false;
    }
    known.requests.push_back(request);
    return true;
}

/// The record of @p content beside @p end, if that counts for it; null otherwise.
template <typename End>
auto *suspectBeside(End &end, const ContentDigest &content)
{
    const auto found = std::find_if(end.requests.begin(), end.requests.end(),
                                    [&content](const RequestBesideEnd &request) { return request.content == content && !request.answeredSince; });
    return found == end.requests.end() ? nullptr : &*found;
}

std::map<ContentDigest, int> endsByContent(const BackendEnds &ends)
{
    std::map<ContentDigest, int> counts;
    for (const auto &[id, end] : ends.byId) {
        for (const auto &request : end.requests) {
            counts[request.content] += request.answeredSince ? 0 : 1;
        }
    }
    return counts;
}

/// Drops the end whose most suspect request stands beside the fewest ends; among equals the one that is forgotten first.
void dropLeastTelling(BackendEnds &ends)
{
    const auto counts = endsByContent(ends);
    const auto rank = [&counts](const BackendEnd &end) {
        int most = 0;
        for (const auto &request : end.requests) {
            most = std::max(most, request.answeredSince ? 0 : counts.at(request.content));
        }
        return std::tuple{most, end.forgetAt.at};
    };
    ends.byId.erase(std::min_element(ends.byId.begin(), ends.byId.end(), [&rank](const auto &a, const auto &b) { return rank(a.second) < rank(b.second); }));
}

/// FNV-1a, the same on every kind of machine.
std::uint64_t hashOf(std::uint64_t hash, std::string_view bytes)
{
    constexpr std::uint64_t prime = 1099511628211ULL;
    for (const unsigned char byte : bytes) {
        hash = (hash ^ byte) * prime;
    }
    return hash;
}

} // namespace

bool mergeEnd(BackendEnds &ends, const BackendEnd &end, const BackendEndOptions &options)
{
    const bool fresh = !ends.byId.contains(end.id);
    if (fresh && ends.byId.size() >= options.maxEnds) {
        dropLeastTelling(ends);
    }
    BackendEnd &known = ends.byId.try_emplace(end.id, BackendEnd{end.id, {}, end.forgetAt}).first->second;
    bool learned = fresh;
    for (const auto &request : end.requests) {
        learned = mergeRequest(known, request, options) || learned;
    }
    return learned;
}

std::vector<BackendEnd> acquit(BackendEnds &ends, const ContentDigest &content)
{
    std::vector<BackendEnd> changed;
    for (auto &[id, end] : ends.byId) {
        if (RequestBesideEnd *request = suspectBeside(end, content)) {
            request->answeredSince = true;
            changed.push_back(end);
        }
    }
    return changed;
}

std::vector<BackendEnd> noteTrials(BackendEnds &ends, const ContentDigest &content, int trials, Deadline nextAt)
{
    std::vector<BackendEnd> changed;
    for (auto &[id, end] : ends.byId) {
        RequestBesideEnd *request = suspectBeside(end, content);
        if (request != nullptr && mergeTrials(*request, trials, nextAt)) {
            changed.push_back(end);
        }
    }
    return changed;
}

RequestSuspicion suspicionOf(const BackendEnds &ends, const ContentDigest &content, TimePoint now, const BackendEndOptions &options)
{
    RequestSuspicion suspicion;
    for (const auto &[id, end] : ends.byId) {
        const RequestBesideEnd *request = suspectBeside(end, content);
        if (request == nullptr || expired(end.forgetAt, now)) {
            continue;
        }
        ++suspicion.ends;
        suspicion.lastEndAt = std::max(suspicion.lastEndAt, end.forgetAt.at - options.retention);
        if (request->trials > suspicion.trials) {
            suspicion.trials = request->trials;
            suspicion.nextTrialAt = request->nextTrialAt;
        }
    }
    return suspicion;
}

int endsBeside(const BackendEnds &ends, const ContentDigest &content, TimePoint now)
{
    return suspicionOf(ends, content, now).ends;
}

void forgetOldEnds(BackendEnds &ends, TimePoint now)
{
    std::erase_if(ends.byId, [now](const auto &entry) { return expired(entry.second.forgetAt, now); });
}

std::uint64_t digestOf(const BackendEnds &ends)
{
    constexpr std::uint64_t offsetBasis = 14695981039346656037ULL;
    std::uint64_t digest = 0;
    for (const auto &[id, end] : ends.byId) {
        for (const auto &request : end.requests) {
            const std::uint64_t hash = hashOf(offsetBasis ^ id.value, request.content.value);
            digest ^= request.answeredSince ? ~hash : hash;
        }
    }
    return digest;
}

} // namespace agatedoor
