#include "bergamotpaddle/Scheduling/PromptQuarantine.h"

#include "bergamotpaddle/Support/Hash.h"
#include "bergamotpaddle/Support/Text.h"

#include <algorithm>
#include <utility>

namespace bergamotpaddle {

namespace {

/// Limits on the entries of one report, so that it fits into a digest beside
/// the loads of upstreams.
constexpr std::size_t kMaxReportedParts = 24;
constexpr std::size_t kMaxReportedClearances = 16;
constexpr std::size_t kMaxReportedQuarantines = 8;
/// Reports that wait for a digest.
constexpr std::size_t kMaxNews = 256;
/// Crashes that are remembered of a quarantined part.
constexpr std::size_t kMaxExplainedCrashes = 64;
/// Parts of one prompt that are considered: callers choose their number, and
/// reports have to reach other routers in time.
constexpr std::size_t kMaxPromptParts = 64;

std::int64_t
AgeMs(Instant aAt, Instant aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aAt)
    .count();
}

Instant
TimeOfAge(std::int64_t aAgeMs, Instant aNow)
{
  return aNow - std::chrono::milliseconds(std::max<std::int64_t>(aAgeMs, 0));
}

/// The parts that other requests may share: all but the last one.
std::vector<std::uint64_t>
SharedParts(const std::vector<PromptPart>& aParts)
{
  std::vector<std::uint64_t> shared;
  for (std::size_t i = 0; i + 1 < aParts.size() && i < kMaxPromptParts; ++i) {
    shared.push_back(aParts[i].m_id);
  }
  return shared;
}

template<typename News, typename Item>
void
PushNews(std::deque<News>& aNews, Item aItem, Instant aAt, int aRepeats)
{
  if (aNews.size() >= kMaxNews) {
    aNews.pop_front();
  }
  aNews.push_back({ std::move(aItem), aAt, aRepeats });
}

} // namespace

PromptQuarantine::PromptQuarantine(PromptQuarantineOptions aOptions)
  : m_options(aOptions)
{
}

std::uint32_t
PromptQuarantine::CrashId(const UpstreamId& aUpstream,
                          std::int64_t aStartedAtMs)
{
  return static_cast<std::uint32_t>(
    PlacementHash(Cat(aUpstream.Str(), "/", aStartedAtMs)));
}

void
PromptQuarantine::NoteCrash(std::uint32_t aCrash,
                            const std::vector<PromptPart>& aParts,
                            Instant aNow)
{
  std::vector<std::uint64_t> shared = SharedParts(aParts);
  if (shared.empty()) {
    return;
  }
  for (const std::uint64_t part : shared) {
    Suspect(part, aCrash, aNow, aNow);
  }
  for (const News<CrashReport>& news : m_crashNews) {
    if (news.m_item.m_crash == aCrash) {
      std::erase_if(shared, [&news](std::uint64_t aPart) {
        const auto& parts = news.m_item.m_parts;
        return std::find(parts.begin(), parts.end(), aPart) != parts.end();
      });
    }
  }
  // Digests are small: a long prompt is reported in several entries.
  for (std::size_t begin = 0; begin < shared.size();
       begin += kMaxReportedParts) {
    const std::size_t end = std::min(shared.size(), begin + kMaxReportedParts);
    CrashReport report;
    report.m_crash = aCrash;
    report.m_parts.assign(shared.begin() + static_cast<std::ptrdiff_t>(begin),
                          shared.begin() + static_cast<std::ptrdiff_t>(end));
    PushNews(m_crashNews, std::move(report), aNow, m_options.m_reportRepeats);
  }
}

void
PromptQuarantine::NoteBegun(const std::vector<PromptPart>& aParts, Instant aNow)
{
  for (const std::uint64_t part : SharedParts(aParts)) {
    Clear(part, aNow, aNow, true);
  }
}

void
PromptQuarantine::Suspect(std::uint64_t aPart,
                          std::uint32_t aCrash,
                          Instant aAt,
                          Instant aNow)
{
  const auto begunAt = m_begunAt.find(aPart);
  if (begunAt != m_begunAt.end() && begunAt->second > aAt) {
    return; // A response with the part began since that crash.
  }
  const auto quarantine = m_quarantines.find(aPart);
  if (quarantine != m_quarantines.end()) {
    quarantine->second.m_lastCrashAt =
      std::max(quarantine->second.m_lastCrashAt, aAt);
    if (quarantine->second.m_crashes.size() < kMaxExplainedCrashes) {
      quarantine->second.m_crashes.insert(aCrash);
    }
    return;
  }
  if (begunAt != m_begunAt.end() && IsExplained(aCrash)) {
    return;
  }
  if (m_suspicions.size() >= m_options.m_maxParts) {
    ForgetOld(aNow);
  }
  if (m_suspicions.size() >= m_options.m_maxParts &&
      m_suspicions.count(aPart) == 0) {
    return;
  }
  Suspicion& suspicion = m_suspicions[aPart];
  suspicion.m_crashes.try_emplace(aCrash, aAt);
  UpdateThreshold(suspicion, aNow);
}

void
PromptQuarantine::UpdateThreshold(Suspicion& aSuspicion, Instant aNow) const
{
  std::erase_if(aSuspicion.m_crashes, [&](const auto& aEntry) {
    return aNow - aEntry.second > m_options.m_memory;
  });
  const bool isAboveThresholds =
    aSuspicion.m_crashes.size() >= m_options.m_minCrashes &&
    Incidents(aSuspicion) >= m_options.m_minIncidents;
  if (!isAboveThresholds) {
    aSuspicion.m_thresholdAt.reset();
  } else if (!aSuspicion.m_thresholdAt) {
    aSuspicion.m_thresholdAt = aNow;
  }
}

std::size_t
PromptQuarantine::Incidents(const Suspicion& aSuspicion) const
{
  std::vector<Instant> times;
  for (const auto& [crash, at] : aSuspicion.m_crashes) {
    times.push_back(at);
  }
  std::sort(times.begin(), times.end());
  std::size_t incidents = 0;
  std::optional<Instant> beganAt;
  for (const Instant at : times) {
    if (!beganAt || at - *beganAt >= m_options.m_incidentInterval) {
      ++incidents;
      beganAt = at;
    }
  }
  return incidents;
}

void
PromptQuarantine::Clear(std::uint64_t aPart,
                        Instant aAt,
                        Instant aNow,
                        bool aIsOwn)
{
  if (m_begunAt.size() >= m_options.m_maxParts) {
    ForgetOld(aNow);
  }
  Instant& begunAt = m_begunAt.try_emplace(aPart, aAt).first->second;
  begunAt = std::max(begunAt, aAt);
  const auto suspicion = m_suspicions.find(aPart);
  const bool wasSuspect = suspicion != m_suspicions.end();
  if (wasSuspect) {
    std::erase_if(suspicion->second.m_crashes,
                  [aAt](const auto& aEntry) { return aEntry.second <= aAt; });
    UpdateThreshold(suspicion->second, aNow);
    if (suspicion->second.m_crashes.empty()) {
      m_suspicions.erase(suspicion);
    }
  }
  const auto quarantine = m_quarantines.find(aPart);
  const bool wasQuarantined =
    quarantine != m_quarantines.end() && quarantine->second.m_lastCrashAt < aAt;
  if (wasQuarantined) {
    m_changes.push_back({ QuarantineChange::Kind::kCleared,
                          aPart,
                          0,
                          0,
                          quarantine->second.m_trials });
    m_quarantines.erase(quarantine);
  }
  if (aIsOwn && (wasSuspect || wasQuarantined)) {
    TellBegun(aPart, aAt);
  }
}

void
PromptQuarantine::TellBegun(std::uint64_t aPart, Instant aAt)
{
  const auto pending = std::find_if(
    m_clearedNews.begin(), m_clearedNews.end(), [aPart](const auto& aNews) {
      return aNews.m_item.m_part == aPart;
    });
  if (pending == m_clearedNews.end()) {
    PushNews(
      m_clearedNews, ClearedPart{ aPart, 0 }, aAt, m_options.m_reportRepeats);
  } else if (pending->m_at < aAt) {
    pending->m_at = aAt;
    pending->m_repeatsLeft = m_options.m_reportRepeats;
  }
}

bool
PromptQuarantine::IsOutweighed(std::uint64_t aPart,
                               const Suspicion& aSuspicion) const
{
  if (!m_begunAt.contains(aPart)) {
    return false;
  }
  return std::any_of(
    m_suspicions.begin(), m_suspicions.end(), [&](const auto& aOther) {
      const auto& others = aOther.second.m_crashes;
      return aOther.first != aPart && !m_begunAt.contains(aOther.first) &&
             std::all_of(aSuspicion.m_crashes.begin(),
                         aSuspicion.m_crashes.end(),
                         [&](const auto& aCrash) {
                           return others.contains(aCrash.first);
                         });
    });
}

bool
PromptQuarantine::IsExplained(std::uint32_t aCrash) const
{
  return std::any_of(
    m_quarantines.begin(), m_quarantines.end(), [&](const auto& aEntry) {
      return !m_begunAt.contains(aEntry.first) &&
             aEntry.second.m_crashes.contains(aCrash);
    });
}

void
PromptQuarantine::QuarantineIfDue(std::uint64_t aPart, Instant aNow)
{
  const auto suspicion = m_suspicions.find(aPart);
  if (suspicion == m_suspicions.end()) {
    return;
  }
  UpdateThreshold(suspicion->second, aNow);
  if (!suspicion->second.m_thresholdAt ||
      aNow - *suspicion->second.m_thresholdAt < m_options.m_objectionTime) {
    return;
  }
  if (IsOutweighed(aPart, suspicion->second)) {
    suspicion->second.m_thresholdAt = aNow;
    return;
  }
  m_changes.push_back({ QuarantineChange::Kind::kQuarantined,
                        aPart,
                        suspicion->second.m_crashes.size(),
                        Incidents(suspicion->second),
                        0 });
  Instant lastCrashAt{};
  for (const auto& [crash, at] : suspicion->second.m_crashes) {
    lastCrashAt = std::max(lastCrashAt, at);
  }
  AddQuarantine(aPart, { aNow, 0, lastCrashAt, {} });
}

bool
PromptQuarantine::AddQuarantine(std::uint64_t aPart,
                                const Quarantine& aQuarantine)
{
  const auto known = m_quarantines.find(aPart);
  if (known != m_quarantines.end()) {
    known->second.m_lastCrashAt =
      std::max(known->second.m_lastCrashAt, aQuarantine.m_lastCrashAt);
    if (aQuarantine.m_trials > known->second.m_trials) {
      known->second.m_since = aQuarantine.m_since;
      known->second.m_trials = aQuarantine.m_trials;
    }
    return false;
  }
  if (m_quarantines.size() >= m_options.m_maxQuarantined) {
    m_quarantines.erase(
      std::min_element(m_quarantines.begin(),
                       m_quarantines.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.m_since < aRight.second.m_since;
                       }));
  }
  Quarantine& quarantine =
    m_quarantines.emplace(aPart, aQuarantine).first->second;
  const auto suspicion = m_suspicions.find(aPart);
  if (suspicion != m_suspicions.end()) {
    for (const auto& [crash, at] : suspicion->second.m_crashes) {
      quarantine.m_crashes.insert(crash);
    }
    m_suspicions.erase(suspicion);
  }
  for (auto& [part, other] : m_suspicions) {
    if (m_begunAt.contains(part)) {
      std::erase_if(other.m_crashes, [this](const auto& aCrash) {
        return IsExplained(aCrash.first);
      });
      if (other.m_crashes.size() < m_options.m_minCrashes) {
        other.m_thresholdAt.reset();
      }
    }
  }
  return true;
}

Duration
PromptQuarantine::TrialInterval(const Quarantine& aQuarantine) const
{
  constexpr int kMaxDoublings = 8;
  return std::min(m_options.m_firstTrialAfter *
                    (1 << std::min(aQuarantine.m_trials, kMaxDoublings)),
                  m_options.m_maxTrialInterval);
}

std::optional<Duration>
PromptQuarantine::RefusedFor(const std::vector<PromptPart>& aParts,
                             Instant aNow)
{
  std::optional<Duration> refusedFor;
  for (const std::uint64_t part : SharedParts(aParts)) {
    QuarantineIfDue(part, aNow);
    const auto quarantine = m_quarantines.find(part);
    if (quarantine != m_quarantines.end() &&
        aNow - quarantine->second.m_since > m_options.m_quarantineMemory) {
      m_quarantines.erase(quarantine);
    } else if (quarantine != m_quarantines.end()) {
      const Duration left = std::max(quarantine->second.m_since +
                                       TrialInterval(quarantine->second) - aNow,
                                     Duration(0));
      refusedFor = std::max(refusedFor.value_or(Duration(0)), left);
    }
  }
  return refusedFor;
}

PromptAdmission
PromptQuarantine::Admit(const std::vector<PromptPart>& aParts, Instant aNow)
{
  const std::optional<Duration> refusedFor = RefusedFor(aParts, aNow);
  if (!refusedFor || refusedFor->count() > 0) {
    return { refusedFor, false };
  }
  std::vector<std::uint64_t> quarantined = SharedParts(aParts);
  std::erase_if(quarantined, [this](std::uint64_t aPart) {
    return m_quarantines.count(aPart) == 0;
  });
  if (!std::all_of(quarantined.begin(), quarantined.end(), m_isTrialOwner)) {
    return { refusedFor, false };
  }
  for (const std::uint64_t part : quarantined) {
    Quarantine& quarantine = m_quarantines.at(part);
    quarantine.m_since = aNow;
    ++quarantine.m_trials;
    m_changes.push_back(
      { QuarantineChange::Kind::kTried, part, 0, 0, quarantine.m_trials });
  }
  return { std::nullopt, true };
}

QuarantineReport
PromptQuarantine::NextReport(Instant aNow)
{
  QuarantineReport report;
  // What is sent goes to the back, so that repeats do not hold up other news.
  std::size_t parts = 0;
  for (std::size_t left = m_crashNews.size(); left > 0; --left) {
    News<CrashReport> news = std::move(m_crashNews.front());
    parts += news.m_item.m_parts.size();
    if (parts > kMaxReportedParts) {
      m_crashNews.front() = std::move(news);
      break;
    }
    report.m_crashes.push_back(news.m_item);
    report.m_crashes.back().m_ageMs = AgeMs(news.m_at, aNow);
    --news.m_repeatsLeft;
    m_crashNews.pop_front();
    m_crashNews.push_back(std::move(news));
  }
  for (std::size_t left =
         std::min(m_clearedNews.size(), kMaxReportedClearances);
       left > 0;
       --left) {
    News<ClearedPart> news = m_clearedNews.front();
    report.m_cleared.push_back({ news.m_item.m_part, AgeMs(news.m_at, aNow) });
    --news.m_repeatsLeft;
    m_clearedNews.pop_front();
    m_clearedNews.push_back(news);
  }
  const auto isTold = [](const auto& aNews) {
    return aNews.m_repeatsLeft <= 0;
  };
  std::erase_if(m_crashNews, isTold);
  std::erase_if(m_clearedNews, isTold);
  report.m_quarantined = Quarantined(aNow);
  if (report.m_quarantined.size() > kMaxReportedQuarantines) {
    m_reportRotation %= report.m_quarantined.size();
    std::rotate(report.m_quarantined.begin(),
                report.m_quarantined.begin() +
                  static_cast<std::ptrdiff_t>(m_reportRotation),
                report.m_quarantined.end());
    report.m_quarantined.resize(kMaxReportedQuarantines);
    m_reportRotation += kMaxReportedQuarantines;
  }
  return report;
}

void
PromptQuarantine::Apply(const QuarantineReport& aReport, Instant aNow)
{
  for (const CrashReport& crash : aReport.m_crashes) {
    for (const std::uint64_t part : crash.m_parts) {
      Suspect(part, crash.m_crash, TimeOfAge(crash.m_ageMs, aNow), aNow);
      const auto begunAt = m_begunAt.find(part);
      if (begunAt != m_begunAt.end()) {
        TellBegun(part, begunAt->second);
      }
    }
  }
  for (const ClearedPart& cleared : aReport.m_cleared) {
    Clear(cleared.m_part, TimeOfAge(cleared.m_ageMs, aNow), aNow, false);
  }
  for (const QuarantinedPart& quarantined : aReport.m_quarantined) {
    const Instant since = TimeOfAge(quarantined.m_ageMs, aNow);
    const Instant lastCrashAt = TimeOfAge(quarantined.m_crashAgeMs, aNow);
    if (aNow - since > m_options.m_quarantineMemory) {
      continue;
    }
    const auto begunAt = m_begunAt.find(quarantined.m_part);
    if (begunAt != m_begunAt.end() && begunAt->second > lastCrashAt) {
      // The sender does not know yet of a response that began afterwards.
      TellBegun(quarantined.m_part, begunAt->second);
      continue;
    }
    if (AddQuarantine(quarantined.m_part,
                      { since, quarantined.m_trials, lastCrashAt, {} })) {
      m_changes.push_back({ QuarantineChange::Kind::kAdopted,
                            quarantined.m_part,
                            0,
                            0,
                            quarantined.m_trials });
    }
  }
}

std::vector<QuarantinedPart>
PromptQuarantine::Quarantined(Instant aNow) const
{
  std::vector<QuarantinedPart> quarantined;
  for (const auto& [part, quarantine] : m_quarantines) {
    quarantined.push_back({ part,
                            AgeMs(quarantine.m_since, aNow),
                            quarantine.m_trials,
                            AgeMs(quarantine.m_lastCrashAt, aNow) });
  }
  return quarantined;
}

std::vector<QuarantineChange>
PromptQuarantine::TakeChanges()
{
  return std::exchange(m_changes, {});
}

void
PromptQuarantine::ForgetOld(Instant aNow)
{
  absl::erase_if(m_begunAt, [&](const auto& aEntry) {
    return aNow - aEntry.second > m_options.m_memory;
  });
  if (m_begunAt.size() >= m_options.m_maxParts) {
    m_begunAt.clear(); // More parts than expected; suspicions start anew.
  }
  std::erase_if(m_suspicions, [&](const auto& aEntry) {
    const auto& crashes = aEntry.second.m_crashes;
    return std::all_of(crashes.begin(), crashes.end(), [&](const auto& aCrash) {
      return aNow - aCrash.second > m_options.m_memory;
    });
  });
  std::erase_if(m_quarantines, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_since > m_options.m_quarantineMemory;
  });
}

} // namespace bergamotpaddle
