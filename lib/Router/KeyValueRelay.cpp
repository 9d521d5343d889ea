#include "bergamotpaddle/Router/KeyValueRelay.h"

namespace bergamotpaddle {

namespace {

constexpr Duration kAnswerTimeout = std::chrono::milliseconds(2000);
constexpr Duration kOwnPause = std::chrono::seconds(5);

absl::Status
NoAnswer()
{
  return absl::UnavailableError("the key-value service is out of reach, "
                                "directly and through other routers");
}

/// Gives an entry's revision to a hook that wants only that.
KeyValueHooks::EntryHook
RevisionOf(const KeyValueHooks::RevisionHook& aDone)
{
  return [aDone](const absl::StatusOr<KeyValueEntry>& aEntry) {
    aDone(aEntry.ok() ? absl::StatusOr<std::uint64_t>(aEntry->m_revision)
                      : aEntry.status());
  };
}

} // namespace

KeyValueRelay::KeyValueRelay(KeyValueHooks aOwn,
                             TimerHooks aTimers,
                             SendHook aSend)
  : m_own(std::move(aOwn))
  , m_timers(std::move(aTimers))
  , m_send(std::move(aSend))
{
}

KeyValueHooks
KeyValueRelay::Hooks()
{
  KeyValueHooks hooks = m_own;
  hooks.m_get = [this](const std::string& aKey, const EntryHook& aDone) {
    KeyValueRequest operation;
    operation.m_operation = KeyValueOperation::kGet;
    operation.m_key = aKey;
    Do(operation, aDone);
  };
  hooks.m_compareAndSwap = [this](const std::string& aKey,
                                  std::uint64_t aRevision,
                                  const std::optional<std::string>& aValue,
                                  const KeyValueHooks::RevisionHook& aDone) {
    KeyValueRequest operation;
    operation.m_operation = KeyValueOperation::kCompareAndSwap;
    operation.m_key = aKey;
    operation.m_revision = aRevision;
    operation.m_hasValue = aValue.has_value();
    operation.m_value = aValue.value_or("");
    Do(operation, RevisionOf(aDone));
  };
  hooks.m_keepAlive = [this](const std::string& aKey,
                             const std::string& aValue,
                             Duration aTimeToLive,
                             const KeyValueHooks::RevisionHook& aDone) {
    KeyValueRequest operation;
    operation.m_operation = KeyValueOperation::kKeepAlive;
    operation.m_key = aKey;
    operation.m_value = aValue;
    operation.m_timeToLiveMicros = aTimeToLive.count();
    Do(operation, RevisionOf(aDone));
  };
  return hooks;
}

void
KeyValueRelay::Do(const KeyValueRequest& aOperation, EntryHook aDone)
{
  const bool ownFailed = m_timers.m_now() < m_ownFailedUntil;
  if (ownFailed && !m_routers.empty()) {
    DoThroughOther(aOperation, std::move(aDone));
    return;
  }
  DoOwn(aOperation,
        [this, aOperation, done = std::move(aDone)](
          const absl::StatusOr<KeyValueEntry>& aEntry) {
          if (!absl::IsUnavailable(aEntry.status()) || m_routers.empty()) {
            done(aEntry);
            return;
          }
          m_ownFailedUntil = m_timers.m_now() + kOwnPause;
          DoThroughOther(aOperation, done);
        });
}

void
KeyValueRelay::DoOwn(const KeyValueRequest& aOperation, const EntryHook& aDone)
{
  auto revisionDone = [aDone](const absl::StatusOr<std::uint64_t>& aRevision) {
    aDone(aRevision.ok()
            ? absl::StatusOr<KeyValueEntry>(KeyValueEntry{ *aRevision, "" })
            : aRevision.status());
  };
  switch (aOperation.m_operation) {
    case KeyValueOperation::kGet:
      m_own.m_get(aOperation.m_key, aDone);
      return;
    case KeyValueOperation::kCompareAndSwap: {
      std::optional<std::string> value;
      if (aOperation.m_hasValue) {
        value = aOperation.m_value;
      }
      m_own.m_compareAndSwap(
        aOperation.m_key, aOperation.m_revision, value, revisionDone);
      return;
    }
    case KeyValueOperation::kKeepAlive:
      m_own.m_keepAlive(aOperation.m_key,
                        aOperation.m_value,
                        Duration(aOperation.m_timeToLiveMicros),
                        revisionDone);
      return;
  }
}

void
KeyValueRelay::DoThroughOther(KeyValueRequest aOperation, EntryHook aDone)
{
  const std::uint64_t number = ++m_lastQuestion;
  aOperation.m_correlationId = number;
  for (PeerId peer : m_routers) {
    if (!m_send(peer, aOperation)) {
      continue;
    }
    ++m_relayed;
    m_questions[number] = { peer, std::move(aDone) };
    m_timers.m_after(kAnswerTimeout,
                     [this, number] { Finish(number, NoAnswer()); });
    return;
  }
  aDone(NoAnswer());
}

void
KeyValueRelay::Finish(std::uint64_t aQuestion,
                      const absl::StatusOr<KeyValueEntry>& aEntry)
{
  auto found = m_questions.find(aQuestion);
  if (found == m_questions.end()) {
    return;
  }
  const EntryHook done = std::move(found->second.m_done);
  m_questions.erase(found);
  done(aEntry);
}

void
KeyValueRelay::OnClosed(PeerId aPeer)
{
  m_routers.erase(aPeer);
  std::vector<std::uint64_t> lost;
  for (const auto& [number, question] : m_questions) {
    if (question.m_peer == aPeer) {
      lost.push_back(number);
    }
  }
  for (std::uint64_t number : lost) {
    Finish(number, NoAnswer());
  }
}

void
KeyValueRelay::On(PeerId aPeer, const KeyValueRequest& aMessage)
{
  // By the own way alone: a question never travels further than once.
  DoOwn(aMessage,
        [this, aPeer, number = aMessage.m_correlationId](
          const absl::StatusOr<KeyValueEntry>& aEntry) {
          KeyValueReply tell;
          tell.m_correlationId = number;
          if (aEntry.ok()) {
            tell.m_outcome = KeyValueOutcome::kDone;
            tell.m_revision = aEntry->m_revision;
            tell.m_value = aEntry->m_value;
          }
          if (absl::IsAborted(aEntry.status())) {
            tell.m_outcome = KeyValueOutcome::kConflict;
          }
          m_send(aPeer, tell);
        });
}

void
KeyValueRelay::On(const KeyValueReply& aMessage)
{
  switch (aMessage.m_outcome) {
    case KeyValueOutcome::kDone:
      Finish(aMessage.m_correlationId,
             KeyValueEntry{ aMessage.m_revision, aMessage.m_value });
      return;
    case KeyValueOutcome::kConflict:
      Finish(
        aMessage.m_correlationId,
        absl::AbortedError("the key is at another revision; read it again"));
      return;
    case KeyValueOutcome::kNoResponse:
      Finish(aMessage.m_correlationId, NoAnswer());
      return;
  }
}

} // namespace bergamotpaddle
