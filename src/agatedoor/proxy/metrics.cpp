#include "metrics.hpp"

#include <sstream>

namespace agatedoor {

namespace {

namespace accumulators = boost::accumulators;

void writeDistribution(std::ostringstream &stream, const std::string &name, const TimeDistribution &distribution, int worker)
{
    const std::string label = "worker=\"" + std::to_string(worker) + "\"";
    for (std::size_t i = 0; i < quantileLevels.size(); ++i) {
        stream << name << "{" << label << ",quantile=\"" << quantileLevels.at(i) << "\"} ";
        stream << accumulators::extended_p_square(distribution)[static_cast<std::ptrdiff_t>(i)] << "\n";
    }
    stream << name << "_count{" << label << "} " << accumulators::count(distribution) << "\n";
    stream << name << "_sum{" << label << "} " << accumulators::sum(distribution) << "\n";
}

} // namespace

TimeDistribution makeTimeDistribution()
{
    return TimeDistribution(tag::extended_p_square::probabilities = quantileLevels);
}

std::string prometheusText(const Metrics &metrics, int worker)
{
    std::ostringstream stream;
    const std::string label = "worker=\"" + std::to_string(worker) + "\"";
    writeDistribution(stream, "agatedoor_request_seconds", metrics.requestTime, worker);
    writeDistribution(stream, "agatedoor_backend_seconds", metrics.backendTime, worker);
    for (const auto outcome : {RunOutcome::Answered, RunOutcome::NotRun, RunOutcome::Unknown, RunOutcome::AnswerLost}) {
        stream << "agatedoor_requests_total{" << label << ",outcome=\"" << wireName(outcome) << "\"} ";
        stream << metrics.outcomes.at(static_cast<std::size_t>(outcome)) << "\n";
    }
    stream << "agatedoor_attempts_total{" << label << "} " << metrics.attempts << "\n";
    stream << "agatedoor_retries_total{" << label << "} " << metrics.retries << "\n";
    stream << "agatedoor_hedges_total{" << label << "} " << metrics.hedges << "\n";
    stream << "agatedoor_extra_attempts_total{" << label << "} " << metrics.extraAttempts << "\n";
    stream << "agatedoor_extra_attempts_won_total{" << label << "} " << metrics.extraAttemptsWon << "\n";
    stream << "agatedoor_extra_attempts_refused_total{" << label << "} " << metrics.extraAttemptsRefused << "\n";
    stream << "agatedoor_extra_attempts_withheld_total{" << label << "} " << metrics.extraAttemptsWithheld << "\n";
    stream << "agatedoor_quota_waits_total{" << label << "} " << metrics.quotaWaits << "\n";
    stream << "agatedoor_quota_refusals_total{" << label << "} " << metrics.quotaRefusals << "\n";
    stream << "agatedoor_hedges_won_total{" << label << "} " << metrics.hedgesWon << "\n";
    stream << "agatedoor_retries_over_budget_total{" << label << "} " << metrics.retriesOverBudget << "\n";
    stream << "agatedoor_arrived_repeats_total{" << label << "} " << metrics.arrivedRepeats << "\n";
    stream << "agatedoor_silent_connections_total{" << label << "} " << metrics.silentConnections << "\n";
    stream << "agatedoor_pipelined_requests_total{" << label << "} " << metrics.pipelinedRequests << "\n";
    stream << "agatedoor_hop_requests_total{" << label << "} " << metrics.peerRequests << "\n";
    stream << "agatedoor_measuring_bytes_total{" << label << "} " << metrics.measuringBytes << "\n";
    stream << "agatedoor_load_reports_withheld_total{" << label << "} " << metrics.reportsWithheld << "\n";
    stream << "agatedoor_cross_region_bytes_total{" << label << "} " << metrics.crossRegionBytes << "\n";
    stream << "agatedoor_cross_region_attempts_total{" << label << "} " << metrics.crossRegionAttempts << "\n";
    stream << "agatedoor_kept_near_total{" << label << "} " << metrics.keptNear << "\n";
    return stream.str();
}

} // namespace agatedoor
