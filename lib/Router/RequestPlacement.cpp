/// \file
/// Placement of attempts: selection of the upstream, claims at the key's homes,
/// and attaching to runs that were placed before.
#include "bergamotpaddle/Router/RequestTable.h"

#include "bergamotpaddle/Support/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace bergamotpaddle {

namespace {

constexpr Duration kAttachPollInterval = std::chrono::milliseconds(100);

} // namespace

void
RequestTable::StartAttempt(RequestNumber aNumber)
{
  Request& request = *Find(aNumber);
  const auto& pools = m_hooks.m_configuration().m_pools;
  auto pool = pools.find(request.m_params.m_pool);
  std::optional<UpstreamId> place;
  bool isLong = false;
  if (pool != pools.end()) {
    isLong = request.m_params.m_dispatch.m_maxOutput >
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
  attempt.m_account = request.m_params.m_dispatch.m_account;
  attempt.m_key = request.m_params.m_dispatch.m_key;
  attempt.m_place = *place;
  AgentView& agent = *m_directory->Find(*place);
  attempt.m_agent = agent.m_agent;
  attempt.m_isCounted = true;
  ++agent.m_outstanding;
  attempt.m_isUnreported = true;
  ++agent.m_unreported;
  ++agent.m_totalAttempts;
  attempt.m_isLong = isLong;
  agent.m_outstandingLong += isLong ? 1 : 0;
  request.m_current = id;
  if (request.m_params.m_dispatch.m_hasCallerKey) {
    Claim(id);
    return;
  }
  AllotCredit(id);
}

std::vector<UpstreamId>
RequestTable::HomesOf(const Request& aRequest) const
{
  // Ignores whether a home is reachable now: another router may reach it, and
  // must compute the same homes.
  const Dispatch& dispatch = aRequest.m_params.m_dispatch;
  const std::string name =
    absl::StrCat(dispatch.m_account.Str(), "|", dispatch.m_key.Str());
  const PoolConfig& pool =
    m_hooks.m_configuration().m_pools.at(aRequest.m_params.m_pool);
  std::vector<std::pair<std::uint64_t, UpstreamId>> ranked;
  ranked.reserve(pool.m_upstreams.size());
  for (const UpstreamId& id : pool.m_upstreams) {
    ranked.emplace_back(RendezvousWeight(name, id.Str()), id);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(ranked.size(), m_options.m_homeCount));
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
  const Dispatch& dispatch = request.m_params.m_dispatch;
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
      attempt.m_claimedHomes.insert(home);
    }
  }
  if (attempt.m_claimedHomes.empty()) {
    ResolveClaim(aAttempt);
    return;
  }
  m_timers.m_after(m_options.m_claimTimeout, [this, aAttempt] {
    Attempt* pending = FindAttempt(aAttempt);
    if (pending != nullptr && pending->m_state == AttemptState::kClaiming) {
      ResolveClaim(aAttempt);
    }
  });
}

std::optional<ClaimReply>
RequestTable::UnanimousReply(const Attempt& aAttempt) const
{
  const std::vector<UpstreamId> homes =
    HomesOf(m_requests.at(aAttempt.m_request));
  if (aAttempt.m_claimReplies.size() < homes.size()) {
    return std::nullopt;
  }
  const ClaimReply& first = aAttempt.m_claimReplies.begin()->second;
  for (const auto& [home, reply] : aAttempt.m_claimReplies) {
    if (reply != first) {
      return std::nullopt;
    }
  }
  return first;
}

void
RequestTable::ResolveClaim(AttemptId aAttempt)
{
  const Attempt& attempt = *FindAttempt(aAttempt);
  const RequestNumber number = attempt.m_request;
  if (attempt.m_claimReplies.empty()) {
    // No home replied, so the key may be running at an unknown upstream.
    DropAttempt(aAttempt);
    Fail(number, ResultCode::kOutcomeUnknown, Ran::kUnknown);
    return;
  }
  for (const auto& [home, reply] : attempt.m_claimReplies) {
    if (reply.m_verdict == ClaimVerdict::kMismatch) {
      DropAttempt(aAttempt);
      Fail(number, ResultCode::kKeyReused, Ran::kNo);
      return;
    }
  }
  if (const std::optional<ClaimReply> unanimous = UnanimousReply(attempt)) {
    ApplyClaim(aAttempt, *unanimous);
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
  const ClaimReply* bestReply = nullptr;
  for (const auto& [home, reply] : attempt.m_claimReplies) {
    // An earlier placement takes precedence over a grant for this claim: all
    // homes may have granted the attempt that placed it, and then that attempt
    // does not consult the claim register.
    const bool isPreferred = bestReply == nullptr ||
                             reply.m_generation > bestReply->m_generation ||
                             (reply.m_generation == bestReply->m_generation &&
                              reply.m_verdict == ClaimVerdict::kPlaced);
    if (isPreferred) {
      bestReply = &reply;
    }
  }
  const bool isOwn = bestReply->m_verdict == ClaimVerdict::kGranted;
  return { m_requests.at(attempt.m_request).m_params.m_dispatch.m_fingerprint,
           bestReply->m_place,
           bestReply->m_generation,
           isOwn ? ClaimantOf(aAttempt) : "",
           bestReply->m_mayHaveRun };
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
                       OnDecided(aAttempt, claimant, aDecision);
                     }
                   });
}

void
RequestTable::OnDecided(AttemptId aAttempt,
                        const std::string& aClaimant,
                        const absl::StatusOr<KeyPlacement>& aDecision)
{
  const RequestNumber number = FindAttempt(aAttempt)->m_request;
  const Request& request = *Find(number);
  if (!aDecision.ok()) {
    RecordEvent("claim_undecided",
                request,
                {},
                std::string(aDecision.status().message()));
    DropAttempt(aAttempt);
    Fail(number, ResultCode::kOutcomeUnknown, Ran::kUnknown);
    return;
  }
  if (aDecision->m_fingerprint != request.m_params.m_dispatch.m_fingerprint) {
    DropAttempt(aAttempt);
    Fail(number, ResultCode::kKeyReused, Ran::kNo);
    return;
  }
  const bool isGranted = aDecision->m_claimant == aClaimant;
  ApplyClaim(aAttempt,
             { aAttempt,
               isGranted ? ClaimVerdict::kGranted : ClaimVerdict::kPlaced,
               aDecision->m_place,
               aDecision->m_generation,
               aDecision->m_mayHaveRun });
}

void
RequestTable::ApplyClaim(AttemptId aAttempt, const ClaimReply& aReply)
{
  Attempt& attempt = *FindAttempt(aAttempt);
  const RequestNumber number = attempt.m_request;
  Request& request = *Find(number);
  if (aReply.m_verdict == ClaimVerdict::kPlaced) {
    DropAttempt(aAttempt);
    RecordEvent("placed_before", request, aReply.m_place);
    request.m_isPlaced = true;
    AttachWhenUp(number, aReply, m_timers.m_now());
    return;
  }
  if (aReply.m_mayHaveRun && !request.m_mayHaveRun) {
    // Another request abandoned a place that may still run the key. This
    // router's ledger has no duplicate mark for it, so a second run could be
    // charged as well.
    DropAttempt(aAttempt);
    Fail(number, ResultCode::kOutcomeUnknown, Ran::kUnknown);
    return;
  }
  attempt.m_generation = aReply.m_generation;
  request.m_replaces = {};
  request.m_replacesGeneration = 0;
  AllotCredit(aAttempt);
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
    // The configuration has removed the upstream; its run cannot be read.
    request->m_replaces = place;
    request->m_replacesGeneration = aPlaced.m_generation;
    Retry(aNumber, ResultCode::kOutcomeUnknown);
    return;
  }
  if (agent->m_isUp) {
    AttachTo(aNumber, aPlaced);
    return;
  }
  if (m_timers.m_now() - aSince > m_options.m_attachTimeout) {
    Fail(aNumber, ResultCode::kOutcomeUnknown, Ran::kUnknown);
    return;
  }
  m_timers.m_after(kAttachPollInterval, [this, aNumber, aPlaced, aSince] {
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
  attempt.m_account = request.m_params.m_dispatch.m_account;
  attempt.m_key = request.m_params.m_dispatch.m_key;
  attempt.m_place = aPlaced.m_place;
  attempt.m_generation = aPlaced.m_generation;
  attempt.m_agent = m_directory->Find(aPlaced.m_place)->m_agent;
  attempt.m_state = AttemptState::kSent;
  attempt.m_isAttach = true;
  attempt.m_sentAt = m_timers.m_now();
  request.m_current = id;
  SendAttach(id, request.m_delivered.size(), true);
}

void
RequestTable::SendAttach(AttemptId aAttempt,
                         std::uint64_t aOffset,
                         bool aMayWait)
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
RequestTable::AllowMove(Request& aRequest, const Attempt& aAttempt)
{
  aRequest.m_replaces = aAttempt.m_place;
  aRequest.m_replacesGeneration = aAttempt.m_generation;
}

} // namespace bergamotpaddle
