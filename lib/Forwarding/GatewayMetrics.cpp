/// \file
/// The metrics page: counters and latency histograms.
#include "bergamotpaddle/Forwarding/GatewayServer.h"

#include "bergamotpaddle/Support/Text.h"

namespace bergamotpaddle {

void
AppendHistogram(MetricsText& aText,
                const std::string& aName,
                const LatencyHistogram& aHistogram,
                const MetricLabels& aLabels)
{
  aText.Family(Cat(aName, "_bucket"), "counter", "Latency classes.");
  const auto labelsForBound = [&aLabels](const std::string& aBound) {
    MetricLabels labels = aLabels;
    labels.emplace_back("le", aBound);
    return labels;
  };
  const auto sums = aHistogram.Cumulative();
  for (std::size_t i = 0; i < sums.size(); ++i) {
    const double bound = LatencyHistogram::kBoundsMs[i] / 1000.0;
    aText.Sample(static_cast<double>(sums[i]), labelsForBound(Cat(bound)));
  }
  aText.Sample(static_cast<double>(aHistogram.Count()), labelsForBound("+Inf"));
  aText.Family(Cat(aName, "_count"), "counter", "Values noted.");
  aText.Sample(static_cast<double>(aHistogram.Count()), aLabels);
  aText.Family(Cat(aName, "_sum"), "counter", "Sum of the values noted.");
  aText.Sample(aHistogram.SumSeconds(), aLabels);
}

std::string
GatewayServer::MetricsPage() const
{
  const GatewayCounters& counters = m_state->m_counters;
  MetricsText text;
  text.Family("bergamotpaddle_requests_total",
              "counter",
              "Requests of callers by how they ended.");
  for (const auto& [code, count] : counters.m_requestsByCode) {
    text.Sample(static_cast<double>(count),
                { { "code", std::string(Describe(code).m_name) } });
  }
  const auto appendSingle = [&text](const char* aName,
                                    const char* aType,
                                    const char* aHelp,
                                    std::uint64_t aValue) {
    text.SingleSample(aName, aType, aHelp, static_cast<double>(aValue));
  };
  appendSingle("bergamotpaddle_retries_total",
               "counter",
               "Requests sent to a further upstream after one that had them.",
               counters.m_retries);
  appendSingle("bergamotpaddle_streams_resumed_total",
               "counter",
               "Streams that went on at another upstream.",
               counters.m_streamsResumed);
  text.Family("bergamotpaddle_failovers_total",
              "counter",
              "Sends to another upstream beside a silent one, by result.");
  const std::array<std::pair<const char*, std::uint64_t>, 3> failovers = {
    std::pair("replaced", counters.m_failoversReplaced),
    std::pair("kept", counters.m_failoversKept),
    std::pair("failed", counters.m_failoversFailed)
  };
  for (const auto& [result, count] : failovers) {
    text.Sample(static_cast<double>(count), { { "result", result } });
  }
  text.Family("bergamotpaddle_credit_refusals_total",
              "counter",
              "Requests refused with credit_unreachable, by cause.");
  for (std::size_t i = 0; i < kCreditShortageCount; ++i) {
    const std::string cause(Describe(static_cast<CreditShortage>(i)));
    text.Sample(static_cast<double>(counters.m_creditRefusals.at(i)),
                { { "cause", cause } });
  }
  appendSingle("bergamotpaddle_upstreams_leaving_total",
               "counter",
               "Upstreams that said in a response, or were reported by a "
               "router, to be leaving.",
               counters.m_upstreamsLeaving);
  appendSingle("bergamotpaddle_upstream_closures_total",
               "counter",
               "Refusals of upstreams that name a time to stay away.",
               counters.m_upstreamClosures);
  appendSingle("bergamotpaddle_upstream_notices_invalid_total",
               "counter",
               "Responses whose fields about the upstream can't be read.",
               counters.m_invalidNotices);
  const WaitingCounters& waits = m_state->m_waiting.Counters();
  text.Family("bergamotpaddle_queue_total",
              "counter",
              "Requests that found no room at upstreams, by what followed.");
  const std::array<std::pair<const char*, std::uint64_t>, 5> waitResults = {
    std::pair("queued", waits.m_queued),
    std::pair("admitted", waits.m_admitted),
    std::pair("pushed_out", waits.m_pushedOut),
    std::pair("caller_left", waits.m_left),
    std::pair("refused", waits.m_refused)
  };
  for (const auto& [result, count] : waitResults) {
    text.Sample(static_cast<double>(count), { { "result", result } });
  }
  appendSingle("bergamotpaddle_queue_length",
               "gauge",
               "Requests that wait for room at upstreams.",
               m_state->m_waiting.Queue().Waiting());
  appendSingle("bergamotpaddle_answers_spoiled_total",
               "counter",
               "Upstreams' answers that were not passed on.",
               counters.m_invalidResponses);
  appendSingle("bergamotpaddle_quarantine_refusals_total",
               "counter",
               "Requests refused since upstreams crash on a part of them.",
               counters.m_quarantineRefusals);
  appendSingle("bergamotpaddle_quarantined_parts",
               "gauge",
               "Prompt parts on which upstreams crash.",
               m_state->m_quarantine.Quarantined(m_state->Now()).size());
  appendSingle("bergamotpaddle_cold_refusals_total",
               "counter",
               "Requests refused since the upstreams that were left are cold.",
               counters.m_coldRefusals);
  appendSingle("bergamotpaddle_cold_upstreams_total",
               "counter",
               "Times that an upstream was found to be cold.",
               counters.m_coldUpstreams);
  appendSingle("bergamotpaddle_sends_withheld_total",
               "counter",
               "Requests whose upstream was evacuated or cold at their send.",
               counters.m_sendsWithheld);
  appendSingle("bergamotpaddle_zone_evacuations_total",
               "counter",
               "Evacuations of zones.",
               counters.m_evacuations);
  appendSingle("bergamotpaddle_zones_unknown_total",
               "counter",
               "Evacuations of zones that no upstream is in.",
               counters.m_unknownZones);
  appendSingle("bergamotpaddle_zones_evacuated",
               "gauge",
               "Zones that get no new requests.",
               m_state->m_upstreams.Evacuation().Size());
  appendSingle("bergamotpaddle_connection_handovers_total",
               "counter",
               "Times that connections were handed over to other routers.",
               static_cast<std::uint64_t>(m_state->m_levelling.Count()));
  appendSingle(
    "bergamotpaddle_away_seconds_total",
    "counter",
    "Time in which the router was not ready, to level the load.",
    static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(
                                 m_state->m_levelling.TimeAway(m_state->Now()))
                                 .count()));
  appendSingle("bergamotpaddle_router_pressure",
               "gauge",
               "Load in permille of what the router bears.",
               static_cast<std::uint64_t>(m_state->m_levelling.Pressure()));
  appendSingle("bergamotpaddle_levelling_refusals_total",
               "counter",
               "Requests refused since other routers of the zone have room.",
               counters.m_levellingRefusals);
  appendSingle("bergamotpaddle_tasks_failed_total",
               "counter",
               "Coroutines and handlers that an exception ended.",
               m_state->m_tasks.Failures());
  appendSingle("bergamotpaddle_messages_evicted_total",
               "counter",
               "Messages whose reception was ended to save memory.",
               m_state->m_requestHeads.Evictions() +
                 m_state->m_requestBodies.Evictions() +
                 m_state->m_responses.Evictions());
  appendSingle("bergamotpaddle_buffered_bytes",
               "gauge",
               "Bytes of messages being received and of request bodies.",
               m_state->m_requestHeads.Bytes() +
                 m_state->m_requestBodies.Bytes() +
                 m_state->m_responses.Bytes());
  appendSingle("bergamotpaddle_requests_cut_total",
               "counter",
               "Requests cut by the forced end of a shutdown.",
               counters.m_requestsCut);
  appendSingle("bergamotpaddle_stop_refusals_total",
               "counter",
               "Requests refused since a shutdown left too little time.",
               counters.m_stopRefusals);
  appendSingle("bergamotpaddle_events_total",
               "counter",
               "Events of streams passed on.",
               counters.m_events);
  appendSingle("bergamotpaddle_connections_accepted_total",
               "counter",
               "Connections of callers.",
               counters.m_connectionsAccepted);
  AppendHistogram(
    text, "bergamotpaddle_loop_delay_seconds", counters.m_loopDelay, {});
  appendSingle("bergamotpaddle_log_lines_dropped_total",
               "counter",
               "Log lines beyond the bounds.",
               m_state->m_log->Dropped());
  appendSingle("bergamotpaddle_connections",
               "gauge",
               "Open connections of callers.",
               m_sessions.size());
  appendSingle("bergamotpaddle_requests_under_way",
               "gauge",
               "Requests being served.",
               m_state->m_requestsInFlight);
  appendSingle("bergamotpaddle_config_version",
               "gauge",
               "Version of the configuration in force.",
               m_state->m_routes ? m_state->m_routes->Version() : 0);
  appendSingle("bergamotpaddle_upstreams",
               "gauge",
               "Upstreams known.",
               m_state->m_upstreams.Size());
  appendSingle("bergamotpaddle_connect_timeouts_total",
               "counter",
               "Connections to upstreams that were not made in time.",
               counters.m_connectTimeouts);
  appendSingle("bergamotpaddle_other_zone_requests_total",
               "counter",
               "Requests sent to upstreams in other zones.",
               counters.m_otherZoneRequests);
  appendSingle("bergamotpaddle_other_zone_bytes_total",
               "counter",
               "Payload bytes to and from upstreams in other zones.",
               counters.m_otherZoneBytes);
  text.Family("bergamotpaddle_zone_overflow_ratio",
              "gauge",
              "Share of a service's requests that leave the zone.");
  for (const auto& [service, share] :
       m_state->m_placement.Overflow().Shares()) {
    text.Sample(share, { { "service", service.Str() } });
  }
  const EngineSpeed& speeds = m_state->m_upstreams.Speeds();
  appendSingle("bergamotpaddle_speed_samples_total",
               "counter",
               "Responses that told how fast an upstream is.",
               speeds.Samples());
  appendSingle("bergamotpaddle_speed_reports_invalid_total",
               "counter",
               "Measurements of other routers that were out of range.",
               speeds.InvalidReports());
  text.Family("bergamotpaddle_pool_prefill_ratio",
              "gauge",
              "Prefill time of a service's engines relative to nominal.");
  for (const auto& [service, factor] : speeds.PoolPrefillFactors()) {
    text.Sample(factor, { { "service", service.Str() } });
  }
  text.Family(
    "bergamotpaddle_bytes_total", "counter", "Payload bytes by far end.");
  for (std::size_t i = 0; i < kTrafficPeerCount; ++i) {
    const TrafficCount& count =
      counters.m_traffic.CountFor(static_cast<TrafficPeer>(i));
    const std::string peer = kTrafficPeerNames[i];
    text.Sample(static_cast<double>(count.m_sent),
                { { "peer", peer }, { "direction", "sent" } });
    text.Sample(static_cast<double>(count.m_received),
                { { "peer", peer }, { "direction", "received" } });
  }
  const std::array<std::pair<const char*, const LatencyHistogram*>, 3>
    histograms = {
      std::pair("bergamotpaddle_first_event_seconds",
                &counters.m_firstEventTime),
      std::pair("bergamotpaddle_request_seconds", &counters.m_requestTime),
      std::pair("bergamotpaddle_connect_seconds", &counters.m_connectTime)
    };
  for (const auto& [name, histogram] : histograms) {
    AppendHistogram(text, name, *histogram);
  }
  m_options.m_appendMetrics(text);
  return text.Text();
}

} // namespace bergamotpaddle
