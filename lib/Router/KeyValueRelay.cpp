#include "bergamotpaddle/Router/KeyValueRelay.h"

namespace bergamotpaddle {

namespace {

constexpr Duration kReplyTimeout = std::chrono::milliseconds(2000);
constexpr Duration kDirectRetryDelay = std::chrono::seconds(5);

absl::Status
UnreachableError()
{
  return absl::UnavailableError("the key-value service is unreachable, "
                                "directly and through other routers");
}

/// Wraps a hook that gets only the entry's revision.
KeyValueHooks::EntryHook
AdaptRevisionHook(const KeyValueHooks::RevisionHook& aDone)
{
  return [aDone](const absl::StatusOr<KeyValueEntry>& aEntry) {
    aDone(aEntry.ok() ? absl::StatusOr<std::uint64_t>(aEntry->m_revision)
                      : aEntry.status());
  };
}

} // namespace

KeyValueRelay::KeyValueRelay(KeyValueHooks aDirect,
                             TimerHooks aTimers,
                             SendHook aSend)
  : m_direct(std::move(aDirect))
  , m_timers(std::move(aTimers))
  , m_send(std::move(aSend))
{
}

KeyValueHooks
KeyValueRelay::Hooks()
{
  KeyValueHooks hooks = m_direct;
  hooks.m_get = [this](const std::string& aKey, const EntryHook& aDone) {
    KeyValueRequest operation;
    operation.m_operation = KeyValueOperation::kGet;
    operation.m_key = aKey;
    Execute(operation, aDone);
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
    Execute(operation, AdaptRevisionHook(aDone));
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
    Execute(operation, AdaptRevisionHook(aDone));
  };
  return hooks;
}

void
KeyValueRelay::Execute(const KeyValueRequest& aOperation, EntryHook aDone)
{
  const bool isRelayPreferred = m_timers.m_now() < m_preferRelayUntil;
  if (isRelayPreferred && !m_routers.empty()) {
    ExecuteRelayed(aOperation, std::move(aDone));
    return;
  }
  ExecuteDirect(aOperation,
                [this, aOperation, done = std::move(aDone)](
                  const absl::StatusOr<KeyValueEntry>& aEntry) {
                  if (!absl::IsUnavailable(aEntry.status()) ||
                      m_routers.empty()) {
                    done(aEntry);
                    return;
                  }
                  m_preferRelayUntil = m_timers.m_now() + kDirectRetryDelay;
                  ExecuteRelayed(aOperation, done);
                });
}

void
KeyValueRelay::ExecuteDirect(const KeyValueRequest& aOperation,
                             const EntryHook& aDone)
{
  auto revisionDone = [aDone](const absl::StatusOr<std::uint64_t>& aRevision) {
    aDone(aRevision.ok()
            ? absl::StatusOr<KeyValueEntry>(KeyValueEntry{ *aRevision, "" })
            : aRevision.status());
  };
  switch (aOperation.m_operation) {
    case KeyValueOperation::kGet:
      m_direct.m_get(aOperation.m_key, aDone);
      return;
    case KeyValueOperation::kCompareAndSwap: {
      std::optional<std::string> value;
      if (aOperation.m_hasValue) {
        value = aOperation.m_value;
      }
      m_direct.m_compareAndSwap(
        aOperation.m_key, aOperation.m_revision, value, revisionDone);
      return;
    }
    case KeyValueOperation::kKeepAlive:
      m_direct.m_keepAlive(aOperation.m_key,
                           aOperation.m_value,
                           Duration(aOperation.m_timeToLiveMicros),
                           revisionDone);
      return;
  }
}

void
KeyValueRelay::ExecuteRelayed(KeyValueRequest aOperation, EntryHook aDone)
{
  const std::uint64_t number = ++m_lastOperation;
  aOperation.m_correlationId = number;
  for (PeerId peer : m_routers) {
    if (!m_send(peer, aOperation)) {
      continue;
    }
    ++m_relayedOperations;
    m_pendingOperations[number] = { peer, std::move(aDone) };
    m_timers.m_after(kReplyTimeout,
                     [this, number] { Finish(number, UnreachableError()); });
    return;
  }
  aDone(UnreachableError());
}

void
KeyValueRelay::Finish(std::uint64_t aNumber,
                      const absl::StatusOr<KeyValueEntry>& aEntry)
{
  auto found = m_pendingOperations.find(aNumber);
  if (found == m_pendingOperations.end()) {
    return;
  }
  const EntryHook done = std::move(found->second.m_done);
  m_pendingOperations.erase(found);
  done(aEntry);
}

void
KeyValueRelay::OnClosed(PeerId aPeer)
{
  m_routers.erase(aPeer);
  std::vector<std::uint64_t> lost;
  for (const auto& [number, operation] : m_pendingOperations) {
    if (operation.m_peer == aPeer) {
      lost.push_back(number);
    }
  }
  for (std::uint64_t number : lost) {
    Finish(number, UnreachableError());
  }
}

void
KeyValueRelay::On(PeerId aPeer, const KeyValueRequest& aMessage)
{
  // Uses only the direct connection, so that an operation is relayed at most
  // once.
  ExecuteDirect(aMessage,
                [this, aPeer, number = aMessage.m_correlationId](
                  const absl::StatusOr<KeyValueEntry>& aEntry) {
                  KeyValueReply reply;
                  reply.m_correlationId = number;
                  if (aEntry.ok()) {
                    reply.m_outcome = KeyValueOutcome::kDone;
                    reply.m_revision = aEntry->m_revision;
                    reply.m_value = aEntry->m_value;
                  }
                  if (absl::IsAborted(aEntry.status())) {
                    reply.m_outcome = KeyValueOutcome::kConflict;
                  }
                  m_send(aPeer, reply);
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
      Finish(aMessage.m_correlationId, UnreachableError());
      return;
  }
}

} // namespace bergamotpaddle
