#include "bergamotpaddle/Scheduling/RouterLevelling.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bergamotpaddle {

namespace {

constexpr int kFullPressure = 1000;
constexpr int kMaxPressure = 100'000;
/// Interval at which the reports are evaluated: that of digests.
constexpr Duration kSurveyInterval = std::chrono::milliseconds(100);

std::uint32_t
Milliseconds(Duration aTime)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

/// Routers of a zone of \p aSize that may be away at one time.
std::size_t
MaxAway(std::size_t aSize, double aShare)
{
  if (aSize < 2) {
    return 0;
  }
  // Rounded, so that two of five may be away: three are still over half.
  const double away = std::round(static_cast<double>(aSize) * aShare);
  return std::max<std::size_t>(1, static_cast<std::size_t>(away));
}

} // namespace

RouterLevelling::RouterLevelling(RouterLevellingOptions aOptions)
  : m_options(std::move(aOptions))
  , m_alone(m_options.m_alone)
  , m_nextAway(m_options.m_minAway)
{
}

void
RouterLevelling::NoteReport(const std::string& aRouter,
                            const std::string& aZone,
                            const RouterLoad& aLoad,
                            Instant aNow)
{
  if (aLoad.m_roomMillicores <= 0 || aLoad.m_pressure < 0 ||
      aLoad.m_awayMs > aLoad.m_aliveMs) {
    return; // An earlier release, or not a valid report.
  }
  Peer& peer = m_peers[aRouter];
  peer.m_load = aLoad;
  peer.m_heardAt = aNow;
  if (peer.m_zone != aZone) {
    peer.m_zone = aZone;
  }
}

int
RouterLevelling::Pressure() const
{
  const double byDelay =
    Seconds(m_averageDelay) / Seconds(m_options.m_maxLoopDelay);
  const double byLink = m_options.m_linkBytesPerSecond > 0
                          ? m_bytesPerSecond / (m_options.m_linkBytesPerSecond *
                                                m_options.m_maxLinkUse)
                          : 0;
  return static_cast<int>(
    std::min<double>(std::max(byDelay, byLink) * kFullPressure, kMaxPressure));
}

Duration
RouterLevelling::TimeAway(Instant aNow) const
{
  return m_awayTime + (m_isAway ? aNow - m_changedAt : Duration(0));
}

RouterLoad
RouterLevelling::Report(Instant aNow) const
{
  RouterLoad load;
  load.m_roomMillicores = m_options.m_roomMillicores;
  load.m_pressure = Pressure();
  load.m_isAway = m_isAway;
  load.m_awayMs = Milliseconds(TimeAway(aNow));
  load.m_aliveMs = m_startedAt ? Milliseconds(aNow - *m_startedAt) : 0;
  return load;
}

bool
RouterLevelling::ComesBefore(const std::string& aRouter,
                             const RouterLoad& aLoad) const
{
  // A router that is away stays there: a newcomer waits for its return.
  if (aLoad.m_isAway != m_isAway) {
    return aLoad.m_isAway;
  }
  if (m_isAway) {
    // Both left before they heard of each other.
    return std::tie(aLoad.m_roomMillicores, aRouter) <
           std::tie(m_options.m_roomMillicores, m_self);
  }
  // The most loaded for its room first: the zone loses little room by it.
  const int own = Pressure();
  return aLoad.m_pressure > kFullPressure &&
         std::tuple(-aLoad.m_pressure / aLoad.m_roomMillicores,
                    aLoad.m_roomMillicores,
                    aRouter) <
           std::tuple(-own / std::max(m_options.m_roomMillicores, 1),
                      m_options.m_roomMillicores,
                      m_self);
}

RouterLevelling::Survey
RouterLevelling::MakeSurvey(Instant aNow) const
{
  Survey survey;
  double away = Seconds(TimeAway(aNow));
  double alive = m_startedAt ? Seconds(aNow - *m_startedAt) : 0;
  int inRotation = 0;
  for (const auto& [router, peer] : m_peers) {
    if (aNow - peer.m_heardAt > m_options.m_reportTimeout) {
      continue;
    }
    constexpr double kMillisecondsPerSecond = 1000;
    away += peer.m_load.m_awayMs / kMillisecondsPerSecond;
    alive += peer.m_load.m_aliveMs / kMillisecondsPerSecond;
    if (peer.m_zone != m_options.m_zone) {
      continue;
    }
    ++survey.m_zoneSize;
    survey.m_ahead += ComesBefore(router, peer.m_load) ? 1 : 0;
    if (peer.m_load.m_isAway) {
      continue;
    }
    ++inRotation;
    survey.m_meanPressure += std::min(peer.m_load.m_pressure, kMaxPressure);
    if (peer.m_load.m_pressure < m_options.m_calmPressure) {
      survey.m_calmRoom += peer.m_load.m_roomMillicores;
    }
  }
  survey.m_meanPressure /= std::max(inRotation, 1);
  survey.m_awayShare = alive > 0 ? away / alive : 0;
  return survey;
}

bool
RouterLevelling::MayBeAway(const Survey& aSurvey) const
{
  const double maxShare =
    m_isAway ? m_options.m_maxAwayTime : m_options.m_maxAwayTimeBefore;
  return aSurvey.m_ahead <
           MaxAway(aSurvey.m_zoneSize, m_options.m_maxAwayInZone) &&
         aSurvey.m_awayShare < maxShare;
}

void
RouterLevelling::UpdateAverages(Duration aDelay,
                                std::uint64_t aBytes,
                                Instant aNow)
{
  const Duration elapsed = aNow - m_tickAt;
  const double weight =
    std::min(0.5, Seconds(elapsed) / Seconds(m_options.m_averagingTime));
  const Duration sample = std::min(aDelay, m_options.m_maxSample);
  m_averageDelay = Duration(static_cast<Duration::rep>(
    static_cast<double>(m_averageDelay.count()) * (1 - weight) +
    static_cast<double>(sample.count()) * weight));
  if (elapsed > Duration(0)) {
    const double rate =
      static_cast<double>(aBytes - m_bytes) / Seconds(elapsed);
    m_bytesPerSecond = m_bytesPerSecond * (1 - weight) + rate * weight;
  }
  m_bytes = aBytes;
}

void
RouterLevelling::Leave(Instant aNow)
{
  if (m_count > 0 && aNow - m_changedAt < m_options.m_relapseTime) {
    m_nextAway = std::min(2 * m_nextAway, m_options.m_maxAway);
  } else {
    m_nextAway = m_options.m_minAway;
  }
  ++m_count;
  m_isAway = true;
  m_changedAt = aNow;
  m_calmSince.reset();
  m_closesAllowed = 0;
}

void
RouterLevelling::Return(Instant aNow)
{
  m_awayTime = TimeAway(aNow);
  m_isAway = false;
  m_changedAt = aNow;
  m_closesAllowed = 0;
}

void
RouterLevelling::AllowCloses(std::size_t aConnections, Instant aNow)
{
  const bool isBalancerInformed =
    aNow - m_changedAt >= m_options.m_balancerDelay;
  if (!m_isAway || !isBalancerInformed ||
      Pressure() < m_options.m_calmPressure) {
    m_closesAllowed = 0;
    return;
  }
  const auto connections = static_cast<double>(aConnections);
  m_closesAllowed =
    std::min(connections,
             m_closesAllowed + connections * Seconds(aNow - m_tickAt) /
                                 Seconds(m_options.m_closingTime));
}

void
RouterLevelling::NoteTick(Duration aDelay,
                          std::size_t aConnections,
                          std::uint64_t aBytes,
                          Instant aNow)
{
  if (!m_startedAt) {
    m_startedAt = aNow;
    m_tickAt = aNow;
    m_bytes = aBytes;
  }
  UpdateAverages(aDelay, aBytes, aNow);
  AllowCloses(aConnections, aNow);
  m_tickAt = aNow;
  if (m_isAlone) {
    m_alone.NoteLoopDelay(aDelay, aConnections, aNow);
  }
  const int pressure = Pressure();
  if (pressure >= m_options.m_calmPressure) {
    m_calmSince.reset();
  } else if (!m_calmSince) {
    m_calmSince = aNow;
  }
  if (aNow < m_surveyDueAt) {
    return;
  }
  m_surveyDueAt = aNow + kSurveyInterval;
  const Survey survey = MakeSurvey(aNow);
  m_zoneSize = survey.m_zoneSize;
  m_hasCalmPeers = m_options.m_roomMillicores > 0 &&
                   survey.m_calmRoom >= m_options.m_roomMillicores;
  // A hand-over that began without reports ends by its own rule.
  m_isAlone = m_options.m_roomMillicores <= 0 ||
              (survey.m_zoneSize < 2 && !m_isAway) || !m_alone.IsReady();
  const Duration inPhase = aNow - m_changedAt;
  if (m_isAway) {
    const bool isRested = m_calmSince &&
                          aNow - *m_calmSince >= m_options.m_calmTime &&
                          inPhase >= m_nextAway;
    const bool areOthersWorse =
      inPhase >= m_options.m_minAway && !m_hasCalmPeers &&
      survey.m_meanPressure > std::max(pressure, kFullPressure);
    if (isRested || areOthersWorse || !MayBeAway(survey) ||
        survey.m_zoneSize < 2) {
      Return(aNow);
    }
  } else if (!m_isAlone && pressure > kFullPressure && m_hasCalmPeers &&
             (m_count == 0 || inPhase >= m_options.m_minStay) &&
             MayBeAway(survey)) {
    Leave(aNow);
  }
}

bool
RouterLevelling::IsReady() const
{
  return !m_isAway && m_alone.IsReady();
}

bool
RouterLevelling::TakeClose()
{
  if (m_closesAllowed >= 1) {
    --m_closesAllowed;
    return true;
  }
  return m_alone.TakeClose();
}

bool
RouterLevelling::ShouldRefuse(Duration aObjective) const
{
  return m_hasCalmPeers && Pressure() > kFullPressure &&
         m_options.m_stepsPerRequest * m_averageDelay > aObjective;
}

int
RouterLevelling::Count() const
{
  return m_count + m_alone.Count();
}

} // namespace bergamotpaddle
