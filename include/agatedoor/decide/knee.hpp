#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/base/units.hpp"

/// @brief Detects the knee of the latency curve: the load above which a backend server slows down, and limits its load to it.
///
/// The service times of requests that started while the backend server was nearly full are compared with those of the other
/// requests. When one of the two groups lacks samples, the limit is set so that requests of that group run.
namespace agatedoor {

/// @brief Moving average of the service times of one group of requests.
struct KneeAverage
{
    double seconds = 0; ///< Mean service time.
    int samples = 0; ///< Number of samples, counted up to KneeOptions::minSamples.
    TimePoint sampledAt; ///< When the last sample was added.
};

/// @brief Service times measured so far.
struct Knee
{
    KneeAverage below; ///< Requests that started when at most the loaded share of the slots was in use.
    KneeAverage above; ///< Requests that started on a nearly full backend server.
};

/// @brief Parameters of the comparison.
struct KneeOptions
{
    double loadedShare = 0.8; ///< Share of the slots above which a backend server counts as nearly full.
    double toleratedRatio = 1.3; ///< Ratio of the service times up to which the difference may be random, or is outweighed by the additional slots.
    int minSamples = 16; ///< Samples needed in each group before they are compared.
    Duration maxSampleAge = std::chrono::seconds(30); ///< Older samples are discarded, as the backend server may have changed.
};

/// @brief Measurement of one completed request.
struct KneeSample
{
    std::int64_t running = 0; ///< Requests that were running when it started, including itself.
    Slots slots{1};
    Duration serviceTime{0};
};

/// @brief Adds a sample to its group.
void recordSample(Knee &knee, const KneeSample &sample, const KneeOptions &options, TimePoint now);

/// @brief Number of the @p announced slots to use: all, or the loaded share when using more is slower.
Slots kneeLimit(const Knee &knee, Slots announced, const KneeOptions &options, TimePoint now);

} // namespace agatedoor
