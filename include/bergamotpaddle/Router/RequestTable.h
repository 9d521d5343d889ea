/// \file
/// The requests under way in a router, from the caller's call to the last byte
/// of its answer.
///
/// A request has one current attempt. Attempts that may have run somewhere out
/// of reach stay on the books until their charge comes, their agent says that
/// they never started, or their agent's life is over.
#pragma once

#include "bergamotpaddle/Budget/Ledger.h"
#include "bergamotpaddle/Config/Configuration.h"
#include "bergamotpaddle/Events/EventRing.h"
#include "bergamotpaddle/Router/Balancer.h"
#include "bergamotpaddle/Router/ClaimRegister.h"

namespace bergamotpaddle {

/// Numbers a request within one router's life.
using RequestNumber = std::uint64_t;

/// How a request failed.
struct RequestFailure
{
  ResultCode m_code = ResultCode::kInternal;
  Ran m_ran = Ran::kUnknown;
  auto operator<=>(const RequestFailure&) const = default;
};

/// Where the answer of a request goes.
struct CallerHooks
{
  std::function<void(const std::string& aBytes)> m_data;
  std::function<void(const ResponseEnd&)> m_end;
  std::function<void(const RequestFailure&)> m_fail;
};

/// A request as it enters the table. m_dispatch holds everything but attempt,
/// holder and resume state.
struct NewRequest
{
  Dispatch m_dispatch;
  std::string m_pool;
  CallerHooks m_caller;
};

/// Bounds of the table.
struct RequestOptions
{
  int m_maxTries = 4; ///< Attempts that were refused or failed.
  Duration m_reconnectGrace =
    std::chrono::milliseconds(1000); ///< For an agent whose link went.
  Duration m_claimTimeout = std::chrono::milliseconds(400);
  Duration m_placeTimeout =
    std::chrono::seconds(3); ///< For the place of an earlier try to come back.

  std::size_t m_homes = 2;   ///< Homes asked for a caller's key.
  double m_retryShare = 0.2; ///< Retries for each request, on average.
  double m_retryBurst = 50;
};

/// What the table asks of its router.
struct RequestHooks
{
  std::function<bool(const UpstreamId&, Message)> m_send;
  std::function<Ledger&()> m_ledger;
  std::function<const Configuration&()> m_configuration;
  /// As ClaimRegister::Decide.
  std::function<void(const AccountId&,
                     const RequestKey&,
                     KeyPlacement,
                     ClaimRegister::DecidedHook)>
    m_decide;
  EventHook m_event;
};

/// Counters of the table.
struct RequestCounters
{
  std::uint64_t m_begun = 0;
  std::uint64_t m_completed = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_resumed = 0;
  std::uint64_t m_staleFrames = 0;
};

/// All requests of one router.
class RequestTable
{
public:
  RequestTable(RequestOptions aOptions,
               TimerHooks aTimers,
               RequestHooks aHooks,
               AgentDirectory& aDirectory,
               Balancer& aBalancer);

  /// Takes a request in; its hooks may run before this returns.
  RequestNumber Begin(NewRequest aRequest);

  /// The caller has left.
  void CallerGone(RequestNumber aNumber);

  void OnAgentUp(const UpstreamId& aUpstream, bool aIsSameLife);
  void OnAgentDown(const UpstreamId& aUpstream);
  /// The configuration has given the upstream up.
  void OnAgentGone(const UpstreamId& aUpstream);

  void On(const UpstreamId& aFrom, const ClaimReply& aMessage);
  void On(const UpstreamId& aFrom, const Accepted& aMessage);
  void On(const UpstreamId& aFrom, const Refused& aMessage);
  void On(const UpstreamId& aFrom, const ResponseData& aMessage);
  void On(const UpstreamId& aFrom, const ResponseEnd& aMessage);
  /// The charge of an attempt has reached the ledger.
  void OnCharged(AttemptId aAttempt);

  std::size_t UnderWay() const { return m_requests.size(); }
  /// Attempts that are not settled, of requests under way and gone.
  std::size_t OpenAttempts() const { return m_attempts.size(); }
  const RequestCounters& Counters() const { return m_counters; }

private:
  /// Where an attempt stands.
  enum class AttemptState
  {
    kClaiming, ///< Homes are asked.
    kDeciding, ///< Homes did not agree; the key-value service is asked.
    kCredit,   ///< Waits for credit.
    kSent,     ///< The agent has not answered yet.
    kAccepted,
    kLost, ///< Out of reach; may have run.
  };

  /// One attempt of a request.
  struct Attempt
  {
    RequestNumber m_request = 0; ///< 0: the request is gone.
    AccountId m_account;
    RequestKey m_key;
    UpstreamId m_place;
    AgentId m_agent; ///< The life it was sent to.
    AttemptState m_state = AttemptState::kClaiming;
    std::uint64_t m_generation = 0; ///< Of its placement.
    bool m_isAttach = false;        ///< Reads a run that is charged elsewhere.
    bool m_hasAllotment = false;
    bool m_isUnaccepted = false; ///< In the upstream's unaccepted count.
    bool m_isLong = false;
    bool m_isCounted = false; ///< In the upstream's outstanding count.
    Instant m_sentAt{};
    Instant m_lastPiece{};
    std::set<UpstreamId> m_asked; ///< Homes.
    std::map<UpstreamId, ClaimReply> m_verdicts;
  };

  /// One request.
  struct Request
  {
    NewRequest m_new;
    AttemptId m_current = 0;
    std::set<UpstreamId> m_excluded;
    UpstreamId m_replaces; ///< Placement that the next claim may move.
    std::uint64_t m_replacesGeneration = 0;
    int m_tries = 0;
    bool m_mayHaveRun = false; ///< Some attempt was lost.
    bool m_isDoubled = false;  ///< Marked so in the ledger, once.
    bool m_isPlaced = false; ///< A home names a place that has not disowned it.
    ResultCode m_lastRefusal = ResultCode::kNoUpstream;
    std::string
      m_delivered; ///< The answer so far, for a run that continues it.
    std::uint64_t m_deliveredTokens = 0;
    Instant m_begunAt{};
  };

  Request* Find(RequestNumber aNumber);
  Attempt* FindAttempt(AttemptId aAttempt);
  /// The attempt, if it is its request's current one.
  Request* CurrentOf(AttemptId aAttempt);

  void TryNext(RequestNumber aNumber);
  void Claim(AttemptId aAttempt);
  std::vector<UpstreamId> HomesOf(const Request& aRequest) const;
  void ClaimsHeard(AttemptId aAttempt);
  std::optional<ClaimReply> AgreedVerdict(const Attempt& aAttempt) const;
  KeyPlacement ProposalOf(AttemptId aAttempt) const;
  void Decide(AttemptId aAttempt);
  void Decided(AttemptId aAttempt,
               const std::string& aClaimant,
               const absl::StatusOr<KeyPlacement>& aDecision);
  void FollowClaim(AttemptId aAttempt, const ClaimReply& aVerdict);
  std::string ClaimantOf(AttemptId aAttempt) const;
  void AskCredit(AttemptId aAttempt);
  void Send(AttemptId aAttempt);
  void AttachTo(RequestNumber aNumber, const ClaimReply& aPlaced);
  void AttachWhenUp(RequestNumber aNumber,
                    const ClaimReply& aPlaced,
                    Instant aSince);
  void Reattach(AttemptId aAttempt, std::uint64_t aOffset, bool aMayWait);
  static void Unplace(Request& aRequest, const Attempt& aAttempt);
  std::vector<AttemptId> LostAt(const UpstreamId& aUpstream) const;
  void LifeOver(AttemptId aAttempt);
  void Lose(AttemptId aAttempt);
  void GraceOver(AttemptId aAttempt);
  void Retry(RequestNumber aNumber, ResultCode aWhy);
  bool TakeRetry();
  void DropAttempt(AttemptId aAttempt);
  void ReleaseAndDrop(AttemptId aAttempt);
  void EndRequest(RequestNumber aNumber);
  void Fail(RequestNumber aNumber, ResultCode aCode, Ran aRan);
  void Complete(RequestNumber aNumber, const ResponseEnd& aEnd);
  void Deliver(Request& aRequest, Attempt& aAttempt, const ResponseData& aData);
  void NoteLoad(Attempt& aAttempt, std::uint32_t aLoad);
  void CountAccepted(Attempt& aAttempt);
  void CountOut(Attempt& aAttempt);
  void Note(const std::string& aName,
            const Request& aRequest,
            const UpstreamId& aUpstream,
            const std::string& aDetail = "") const;

  RequestOptions m_options;
  TimerHooks m_timers;
  RequestHooks m_hooks;
  AgentDirectory* m_directory;
  Balancer* m_balancer;
  std::map<RequestNumber, Request> m_requests;
  std::map<AttemptId, Attempt> m_attempts;
  RequestNumber m_lastRequest = 0;
  AttemptId m_lastAttempt = 0;
  double m_retryCredit;
  RequestCounters m_counters;
};

} // namespace bergamotpaddle
