#include "bergamotpaddle/Platform/KeyValue.h"

#include <algorithm>
#include <memory>

namespace bergamotpaddle {

namespace {

/// An update in flight. Its callbacks hold shared pointers that keep it alive.
class UpdateOperation : public std::enable_shared_from_this<UpdateOperation>
{
public:
  using Transform =
    std::function<TransformResult(const std::optional<std::string>&)>;
  using Done = std::function<void(absl::StatusOr<KeyValueEntry>)>;

  UpdateOperation(const KeyValueHooks& aKeyValue,
                  const TimerHooks& aTimers,
                  std::string aKey,
                  Transform aTransform,
                  Done aDone,
                  UpdateOptions aOptions)
    : m_keyValue(aKeyValue)
    , m_timers(aTimers)
    , m_key(std::move(aKey))
    , m_transform(std::move(aTransform))
    , m_done(std::move(aDone))
    , m_options(aOptions)
    , m_backoff(aOptions.m_initialBackoff)
  {
  }

  void Read()
  {
    m_keyValue.m_get(
      m_key, [self = shared_from_this()](absl::StatusOr<KeyValueEntry> aEntry) {
        if (!aEntry.ok()) {
          self->HandleUnavailable(aEntry.status());
          return;
        }
        self->Write(*aEntry);
      });
  }

private:
  void Write(const KeyValueEntry& aEntry)
  {
    std::optional<std::string> current;
    if (aEntry.m_revision != 0) {
      current = aEntry.m_value;
    }
    TransformResult result = m_transform(current);
    if (result.m_action == TransformResult::Action::kStop) {
      if (result.m_status.ok()) {
        m_done(aEntry);
        return;
      }
      m_done(result.m_status);
      return;
    }
    std::optional<std::string> value;
    if (result.m_action == TransformResult::Action::kWrite) {
      value = result.m_value;
    }
    m_keyValue.m_compareAndSwap(m_key,
                                aEntry.m_revision,
                                value,
                                [self = shared_from_this(), value](
                                  absl::StatusOr<std::uint64_t> aRevision) {
                                  self->OnWriteResult(std::move(aRevision),
                                                      value.value_or(""));
                                });
  }

  void OnWriteResult(absl::StatusOr<std::uint64_t> aRevision,
                     std::string aValue)
  {
    if (aRevision.ok()) {
      m_done(KeyValueEntry{ *aRevision, std::move(aValue) });
      return;
    }
    if (absl::IsAborted(aRevision.status())) {
      m_unavailableResults = 0;
      Read();
      return;
    }
    HandleUnavailable(aRevision.status());
  }

  void HandleUnavailable(const absl::Status& aStatus)
  {
    ++m_unavailableResults;
    if (m_options.m_maxUnavailableResults != 0 &&
        m_unavailableResults >= m_options.m_maxUnavailableResults) {
      m_done(aStatus);
      return;
    }
    m_timers.m_after(m_backoff, [self = shared_from_this()] { self->Read(); });
    m_backoff = std::min(m_backoff * 2, m_options.m_maxBackoff);
  }

  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  std::string m_key;
  Transform m_transform;
  Done m_done;
  UpdateOptions m_options;
  Duration m_backoff;
  int m_unavailableResults = 0;
};

} // namespace

void
Update(
  const KeyValueHooks& aKeyValue,
  const TimerHooks& aTimers,
  const std::string& aKey,
  std::function<TransformResult(const std::optional<std::string>&)> aTransform,
  std::function<void(absl::StatusOr<KeyValueEntry>)> aDone,
  UpdateOptions aOptions)
{
  std::make_shared<UpdateOperation>(
    aKeyValue, aTimers, aKey, std::move(aTransform), std::move(aDone), aOptions)
    ->Read();
}

} // namespace bergamotpaddle
