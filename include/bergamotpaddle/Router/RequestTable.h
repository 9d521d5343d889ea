/// \file
/// The requests in flight in a router, from their arrival to the last byte of
/// the response.
///
/// A request has one current attempt. An attempt that may have run at an
/// unreachable agent keeps its record and allotment until its charge arrives,
/// its agent reports that it never started, or that incarnation of the agent
/// has ended.
#pragma once

#include "bergamotpaddle/Budget/Ledger.h"
#include "bergamotpaddle/Config/Configuration.h"
#include "bergamotpaddle/Events/EventRing.h"
#include "bergamotpaddle/Router/Balancer.h"
#include "bergamotpaddle/Router/ClaimRegister.h"

namespace bergamotpaddle {

/// Identifies a request within one incarnation of a router.
using RequestNumber = std::uint64_t;

/// Why a request failed and whether it may have run.
struct RequestFailure
{
  ResultCode m_code = ResultCode::kInternal;
  Ran m_ran = Ran::kUnknown;
  auto operator<=>(const RequestFailure&) const = default;
};

/// Callbacks for the response of a request; either m_end or m_fail is called
/// once, unless the caller disconnects.
struct CallerHooks
{
  std::function<void(const std::string& aBytes)> m_data;
  std::function<void(const ResponseEnd&)> m_end;
  std::function<void(const RequestFailure&)> m_fail;
};

/// Input of RequestTable::Begin. The attempt, generation, holder and resume
/// fields of m_dispatch are set when an attempt is sent.
struct NewRequest
{
  Dispatch m_dispatch;
  std::string m_pool;
  CallerHooks m_caller;
};

/// Limits and timeouts of the table.
struct RequestOptions
{
  int m_maxTries = 4; ///< Refused or failed attempts before the request fails.
  /// Time for a disconnected agent to reconnect before its attempt is replaced.
  Duration m_reconnectGrace = std::chrono::milliseconds(1000);
  Duration m_claimTimeout = std::chrono::milliseconds(400);
  /// Time for a disconnected agent to reconnect if a key was placed there
  /// before.
  Duration m_attachTimeout = std::chrono::seconds(3);

  std::size_t m_homeCount = 2; ///< Homes of a caller's key.
  /// Added to the retry budget with each request.
  double m_retriesPerRequest = 0.2;
  double m_maxRetryBudget = 50;
};

/// Callbacks of a request table, implemented by its router.
struct RequestHooks
{
  std::function<bool(const UpstreamId&, Message)> m_send;
  std::function<Ledger&()> m_ledger;
  std::function<const Configuration&()> m_configuration;
  /// See ClaimRegister::Decide.
  std::function<void(const AccountId&,
                     const RequestKey&,
                     KeyPlacement,
                     ClaimRegister::DecisionHook)>
    m_decide;
  EventHook m_event;
};

/// Totals since the router started.
struct RequestCounters
{
  std::uint64_t m_started = 0;
  std::uint64_t m_completed = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_resumed = 0;
  std::uint64_t m_staleFrames = 0;
};

/// All requests in flight in one router.
class RequestTable
{
public:
  RequestTable(RequestOptions aOptions,
               TimerHooks aTimers,
               RequestHooks aHooks,
               AgentDirectory& aDirectory,
               Balancer& aBalancer);

  /// Starts a request; its hooks may run before this returns.
  RequestNumber Begin(NewRequest aRequest);

  /// Cancels a request whose caller has disconnected.
  void OnCallerDisconnect(RequestNumber aNumber);

  /// Fails all requests: with kDraining those that cannot have run, with
  /// kOutcomeUnknown the others.
  void EndAll();

  void OnAgentUp(const UpstreamId& aUpstream, bool aIsSameIncarnation);
  void OnAgentDown(const UpstreamId& aUpstream);
  /// The configuration has removed the upstream.
  void OnAgentRemoved(const UpstreamId& aUpstream);

  void On(const UpstreamId& aFrom, const ClaimReply& aMessage);
  void On(const UpstreamId& aFrom, const Accepted& aMessage);
  void On(const UpstreamId& aFrom, const Refused& aMessage);
  void On(const UpstreamId& aFrom, const ResponseData& aMessage);
  void On(const UpstreamId& aFrom, const ResponseEnd& aMessage);
  /// The charge of an attempt was passed to the ledger.
  void OnCharged(AttemptId aAttempt);

  std::size_t InFlight() const { return m_requests.size(); }
  /// Number of unsettled attempts, including those of ended requests.
  std::size_t OpenAttempts() const { return m_attempts.size(); }
  const RequestCounters& Counters() const { return m_counters; }

private:
  /// State of an attempt.
  enum class AttemptState
  {
    kClaiming, ///< Waits for replies of the homes.
    kDeciding, ///< Waits for the claim register, as the homes did not agree.
    kAwaitingCredit, ///< Waits for the allotment.
    kSent,           ///< Waits for the agent to accept or refuse.
    kAccepted,
    kLost, ///< The agent is unreachable; may have run.
  };

  /// One attempt of a request.
  struct Attempt
  {
    RequestNumber m_request = 0; ///< 0: the request has ended.
    AccountId m_account;
    RequestKey m_key;
    UpstreamId m_place;
    AgentId m_agent; ///< The incarnation that the attempt is for.
    AttemptState m_state = AttemptState::kClaiming;
    std::uint64_t m_generation = 0; ///< Of the placement.
    /// Reads a run that is charged to another attempt.
    bool m_isAttach = false;
    bool m_hasAllotment = false;
    bool m_isUnreported = false; ///< Included in the upstream's m_unreported.
    bool m_isLong = false;
    bool m_isCounted = false; ///< Included in the upstream's m_outstanding.
    Instant m_sentAt{};
    Instant m_lastChunkAt{};
    std::set<UpstreamId> m_claimedHomes; ///< Homes that were sent the claim.
    std::map<UpstreamId, ClaimReply> m_claimReplies;
  };

  /// One request.
  struct Request
  {
    NewRequest m_params;
    AttemptId m_current = 0;
    std::set<UpstreamId> m_excluded;
    /// Place from which the next claim may move the key.
    UpstreamId m_replaces;
    std::uint64_t m_replacesGeneration = 0;
    int m_tries = 0;
    bool m_mayHaveRun = false;   ///< An earlier attempt was lost.
    bool m_hasFailedRun = false; ///< An earlier attempt failed as it ran.
    /// Already marked as duplicate in the ledger.
    bool m_isDuplicate = false;
    /// Placed by another attempt, and that place has not refused it since.
    bool m_isPlaced = false;
    ResultCode m_lastRefusal = ResultCode::kNoUpstream;
    /// The response so far; a later run continues it.
    std::string m_delivered;
    std::uint64_t m_deliveredTokens = 0;
    Instant m_startedAt{};
  };

  Request* Find(RequestNumber aNumber);
  Attempt* FindAttempt(AttemptId aAttempt);
  /// Returns the request of \p aAttempt if this is its current attempt, else
  /// nullptr.
  Request* CurrentOf(AttemptId aAttempt);

  /// Selects an upstream and starts a new attempt there.
  void StartAttempt(RequestNumber aNumber);
  void Claim(AttemptId aAttempt);
  /// Returns the homes of the request's key, by rendezvous hashing.
  std::vector<UpstreamId> HomesOf(const Request& aRequest) const;
  /// Acts on the claim replies received so far.
  void ResolveClaim(AttemptId aAttempt);
  /// Returns the reply if all homes have sent the same one.
  std::optional<ClaimReply> UnanimousReply(const Attempt& aAttempt) const;
  KeyPlacement ProposalOf(AttemptId aAttempt) const;
  void Decide(AttemptId aAttempt);
  void OnDecided(AttemptId aAttempt,
                 const std::string& aClaimant,
                 const absl::StatusOr<KeyPlacement>& aDecision);
  void ApplyClaim(AttemptId aAttempt, const ClaimReply& aReply);
  std::string ClaimantOf(AttemptId aAttempt) const;
  void AllotCredit(AttemptId aAttempt);
  void Send(AttemptId aAttempt);
  void AttachTo(RequestNumber aNumber, const ClaimReply& aPlaced);
  void AttachWhenUp(RequestNumber aNumber,
                    const ClaimReply& aPlaced,
                    Instant aSince);
  /// Requests the response from \p aOffset on.
  void SendAttach(AttemptId aAttempt, std::uint64_t aOffset, bool aMayWait);
  /// Lets the next claim move the key away from the attempt's place.
  static void AllowMove(Request& aRequest, const Attempt& aAttempt);
  std::vector<AttemptId> LostAttemptsAt(const UpstreamId& aUpstream) const;
  void OnIncarnationEnded(AttemptId aAttempt);
  void MarkLost(AttemptId aAttempt);
  void OnGraceExpired(AttemptId aAttempt);
  void Retry(RequestNumber aNumber, ResultCode aCode);
  /// Whether the request was sent to an upstream that has not refused it.
  bool MayHaveRun(const Request& aRequest);
  /// Consumes a retry from the retry budget; returns false if it is used up.
  bool TryConsumeRetry();
  void DropAttempt(AttemptId aAttempt);
  void ReleaseAndDrop(AttemptId aAttempt);
  void EndRequest(RequestNumber aNumber);
  void Fail(RequestNumber aNumber, ResultCode aCode, Ran aRan);
  void Complete(RequestNumber aNumber, const ResponseEnd& aEnd);
  void Deliver(Request& aRequest, Attempt& aAttempt, const ResponseData& aData);
  /// Stores the load that the attempt's agent reported with a message for it.
  void UpdateLoad(Attempt& aAttempt, std::uint32_t aLoad);
  /// Removes the attempt from the upstream's m_unreported.
  void MarkReported(Attempt& aAttempt);
  /// Removes the attempt from all of the upstream's counts.
  void RemoveFromLoad(Attempt& aAttempt);
  void RecordEvent(const std::string& aName,
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
  double m_retryBudget;
  RequestCounters m_counters;
};

} // namespace bergamotpaddle
