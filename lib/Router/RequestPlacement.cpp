// Where an attempt goes: choice of the upstream, claims at the key's homes, and
// attaching to a run that was placed before.
#include "bergamotpaddle/Router/RequestTable.h"

#include "bergamotpaddle/Support/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr Duration kAttachPoll = std::chrono::milliseconds(100);

} // namespace

void
RequestTable::TryNext(RequestNumber aNumber)
{
  Request& request = *Find(aNumber);
  const auto& pools = m_hooks.m_configuration().m_pools;
  auto pool = pools.find(request.m_new.m_pool);
  std::optional<UpstreamId> place;
  bool isLong = false;
  if (pool != pools.end()) {
    isLong = request.m_new.m_dispatch.m_maxOutput >
             pool->second.m_admission.m_shortTokens;
    place = m_balancer->Pick(
      *m_directory, pool->second, request.m_excluded, m_timers.m_now());
  }
  if (!place.has_value()) {
    Fail(aNumber, request.m_lastRefusal, Ran::kNo);
    return;
  }
  const AttemptId id = ++m_lastAttempt;
  Attempt& attempt = m_attempts[id];
  attempt.m_request = aNumber;
  attempt.m_account = request.m_new.m_dispatch.m_account;
  attempt.m_key = request.m_new.m_dispatch.m_key;
  attempt.m_place = *place;
  AgentView& agent = *m_directory->Find(*place);
  attempt.m_agent = agent.m_agent;
  attempt.m_isCounted = true;
  ++agent.m_outstanding;
  attempt.m_isUnaccepted = true;
  ++agent.m_unaccepted;
  ++agent.m_chosen;
  attempt.m_isLong = isLong;
  agent.m_outstandingLong += isLong ? 1 : 0;
  request.m_current = id;
  if (request.m_new.m_dispatch.m_hasCallerKey) {
    Claim(id);
    return;
  }
  AskCredit(id);
}

std::vector<UpstreamId>
RequestTable::HomesOf(const Request& aRequest) const
{
  // Whether a home can be reached now plays no part: another router may reach
  // it, and must come to the same homes.
  const Dispatch& dispatch = aRequest.m_new.m_dispatch;
  const std::string name =
    absl::StrCat(dispatch.m_account.Str(), "|", dispatch.m_key.Str());
  const PoolConfig& pool =
    m_hooks.m_configuration().m_pools.at(aRequest.m_new.m_pool);
  std::vector<std::pair<std::uint64_t, UpstreamId>> ranked;
  ranked.reserve(pool.m_upstreams.size());
  for (const UpstreamId& id : pool.m_upstreams) {
    ranked.emplace_back(RendezvousWeight(name, id.Str()), id);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(ranked.size(), m_options.m_homes));
  std::vector<UpstreamId> homes;
  homes.reserve(ranked.size());
  for (const auto& [weight, id] : ranked) {
    homes.push_back(id);
  }
  return homes;
}

void
RequestTable::Claim(AttemptId aAttempt)
{
  Attempt& attempt = *FindAttempt(aAttempt);
  const Request& request = *Find(attempt.m_request);
  const Dispatch& dispatch = request.m_new.m_dispatch;
  attempt.m_state = AttemptState::kClaiming;
  for (const UpstreamId& home : HomesOf(request)) {
    const bool isSent =
      m_hooks.m_send(home,
                     ClaimRequest{ aAttempt,
                                   dispatch.m_account,
                                   dispatch.m_key,
                                   dispatch.m_fingerprint,
                                   attempt.m_place,
                                   request.m_replaces,
                                   request.m_replacesGeneration,
                                   request.m_mayHaveRun });
    if (isSent) {
      attempt.m_asked.insert(home);
    }
  }
  if (attempt.m_asked.empty()) {
    ClaimsHeard(aAttempt);
    return;
  }
  m_timers.m_after(m_options.m_claimTimeout, [this, aAttempt] {
    Attempt* late = FindAttempt(aAttempt);
    if (late != nullptr && late->m_state == AttemptState::kClaiming) {
      ClaimsHeard(aAttempt);
    }
  });
}

std::optional<ClaimReply>
RequestTable::AgreedVerdict(const Attempt& aAttempt) const
{
  const std::vector<UpstreamId> homes =
    HomesOf(m_requests.at(aAttempt.m_request));
  if (aAttempt.m_verdicts.size() < homes.size()) {
    return std::nullopt;
  }
  const ClaimReply& first = aAttempt.m_verdicts.begin()->second;
  for (const auto& [home, verdict] : aAttempt.m_verdicts) {
    if (verdict != first) {
      return std::nullopt;
    }
  }
  return first;
}

void
RequestTable::ClaimsHeard(AttemptId aAttempt)
{
  const Attempt& attempt = *FindAttempt(aAttempt);
  const RequestNumber number = attempt.m_request;
  if (attempt.m_verdicts.empty()) {
    // No home answered: the key may run elsewhere without our knowing.
    DropAttempt(aAttempt);
    Fail(number, ResultCode::kOutcomeUnknown, Ran::kUnknown);
    return;
  }
  for (const auto& [home, verdict] : attempt.m_verdicts) {
    if (verdict.m_verdict == ClaimVerdict::kMismatch) {
      DropAttempt(aAttempt);
      Fail(number, ResultCode::kKeyReused, Ran::kNo);
      return;
    }
  }
  if (const std::optional<ClaimReply> agreed = AgreedVerdict(attempt)) {
    FollowClaim(aAttempt, *agreed);
    return;
  }
  Decide(aAttempt);
}

std::string
RequestTable::ClaimantOf(AttemptId aAttempt) const
{
  return absl::StrCat(m_hooks.m_ledger().Holder().Str(), "/", aAttempt);
}

KeyPlacement
RequestTable::ProposalOf(AttemptId aAttempt) const
{
  const Attempt& attempt = m_attempts.at(aAttempt);
  const ClaimReply* best = nullptr;
  for (const auto& [home, verdict] : attempt.m_verdicts) {
    // What a home knew before wins over what it granted now: the attempt that
    // placed it may have been granted by all homes, and then asks nobody else.
    const bool isBetter = best == nullptr ||
                          verdict.m_generation > best->m_generation ||
                          (verdict.m_generation == best->m_generation &&
                           verdict.m_verdict == ClaimVerdict::kPlaced);
    if (isBetter) {
      best = &verdict;
    }
  }
  const bool isOwn = best->m_verdict == ClaimVerdict::kGranted;
  return { m_requests.at(attempt.m_request).m_new.m_dispatch.m_fingerprint,
           best->m_place,
           best->m_generation,
           isOwn ? ClaimantOf(aAttempt) : "",
           best->m_mayHaveRun };
}

void
RequestTable::Decide(AttemptId aAttempt)
{
  Attempt& attempt = *FindAttempt(aAttempt);
  attempt.m_state = AttemptState::kDeciding;
  m_hooks.m_decide(attempt.m_account,
                   attempt.m_key,
                   ProposalOf(aAttempt),
                   [this, aAttempt, claimant = ClaimantOf(aAttempt)](
                     const absl::StatusOr<KeyPlacement>& aDecision) {
                     if (CurrentOf(aAttempt) != nullptr) {
                       Decided(aAttempt, claimant, aDecision);
                     }
                   });
}

void
RequestTable::Decided(AttemptId aAttempt,
                      const std::string& aClaimant,
                      const absl::StatusOr<KeyPlacement>& aDecision)
{
  const RequestNumber number = FindAttempt(aAttempt)->m_request;
  const Request& request = *Find(number);
  if (!aDecision.ok()) {
    Note("claim_undecided",
         request,
         {},
         std::string(aDecision.status().message()));
    DropAttempt(aAttempt);
    Fail(number, ResultCode::kOutcomeUnknown, Ran::kUnknown);
    return;
  }
  if (aDecision->m_fingerprint != request.m_new.m_dispatch.m_fingerprint) {
    DropAttempt(aAttempt);
    Fail(number, ResultCode::kKeyReused, Ran::kNo);
    return;
  }
  const bool isGranted = aDecision->m_claimant == aClaimant;
  FollowClaim(aAttempt,
              { aAttempt,
                isGranted ? ClaimVerdict::kGranted : ClaimVerdict::kPlaced,
                aDecision->m_place,
                aDecision->m_generation,
                aDecision->m_mayHaveRun });
}

void
RequestTable::FollowClaim(AttemptId aAttempt, const ClaimReply& aVerdict)
{
  Attempt& attempt = *FindAttempt(aAttempt);
  const RequestNumber number = attempt.m_request;
  Request& request = *Find(number);
  if (aVerdict.m_verdict == ClaimVerdict::kPlaced) {
    DropAttempt(aAttempt);
    Note("placed_before", request, aVerdict.m_place);
    request.m_isPlaced = true;
    AttachWhenUp(number, aVerdict, m_timers.m_now());
    return;
  }
  if (aVerdict.m_mayHaveRun && !request.m_mayHaveRun) {
    // Another request gave a place up that may still run the key, and its
    // router's ledger would not know that this run is the second.
    DropAttempt(aAttempt);
    Fail(number, ResultCode::kOutcomeUnknown, Ran::kUnknown);
    return;
  }
  attempt.m_generation = aVerdict.m_generation;
  request.m_replaces = {};
  request.m_replacesGeneration = 0;
  AskCredit(aAttempt);
}

void
RequestTable::AttachWhenUp(RequestNumber aNumber,
                           const ClaimReply& aPlaced,
                           Instant aSince)
{
  const UpstreamId& place = aPlaced.m_place;
  Request* request = Find(aNumber);
  if (request == nullptr) {
    return;
  }
  const AgentView* agent = m_directory->Find(place);
  if (agent == nullptr) {
    // The configuration has given the upstream up: nothing can come of it.
    request->m_replaces = place;
    request->m_replacesGeneration = aPlaced.m_generation;
    Retry(aNumber, ResultCode::kOutcomeUnknown);
    return;
  }
  if (agent->m_isUp) {
    AttachTo(aNumber, aPlaced);
    return;
  }
  if (m_timers.m_now() - aSince > m_options.m_placeTimeout) {
    Fail(aNumber, ResultCode::kOutcomeUnknown, Ran::kUnknown);
    return;
  }
  m_timers.m_after(kAttachPoll, [this, aNumber, aPlaced, aSince] {
    AttachWhenUp(aNumber, aPlaced, aSince);
  });
}

void
RequestTable::AttachTo(RequestNumber aNumber, const ClaimReply& aPlaced)
{
  Request& request = *Find(aNumber);
  const AttemptId id = ++m_lastAttempt;
  Attempt& attempt = m_attempts[id];
  attempt.m_request = aNumber;
  attempt.m_account = request.m_new.m_dispatch.m_account;
  attempt.m_key = request.m_new.m_dispatch.m_key;
  attempt.m_place = aPlaced.m_place;
  attempt.m_generation = aPlaced.m_generation;
  attempt.m_agent = m_directory->Find(aPlaced.m_place)->m_agent;
  attempt.m_state = AttemptState::kSent;
  attempt.m_isAttach = true;
  attempt.m_sentAt = m_timers.m_now();
  request.m_current = id;
  Reattach(id, request.m_delivered.size(), true);
}

void
RequestTable::Reattach(AttemptId aAttempt, std::uint64_t aOffset, bool aMayWait)
{
  const Attempt& attempt = *FindAttempt(aAttempt);
  m_hooks.m_send(attempt.m_place,
                 Attach{ aAttempt,
                         attempt.m_account,
                         attempt.m_key,
                         attempt.m_generation,
                         aOffset,
                         aMayWait });
}

void
RequestTable::Unplace(Request& aRequest, const Attempt& aAttempt)
{
  aRequest.m_replaces = aAttempt.m_place;
  aRequest.m_replacesGeneration = aAttempt.m_generation;
}

} // namespace bergamotpaddle
