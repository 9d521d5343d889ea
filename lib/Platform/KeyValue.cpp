#include "bergamotpaddle/Platform/KeyValue.h"

#include <algorithm>
#include <memory>

namespace bergamotpaddle {

namespace {

/// One update under way; keeps itself alive through its callbacks.
class UpdateRun : public std::enable_shared_from_this<UpdateRun>
{
public:
  using Transform =
    std::function<TransformResult(const std::optional<std::string>&)>;
  using Done = std::function<void(absl::StatusOr<KeyValueEntry>)>;

  UpdateRun(const KeyValueHooks& aKeyValue,
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
    , m_backoff(aOptions.m_firstBackoff)
  {
  }

  void Read()
  {
    m_keyValue.m_get(
      m_key, [self = shared_from_this()](absl::StatusOr<KeyValueEntry> aEntry) {
        if (!aEntry.ok()) {
          self->Unclear(aEntry.status());
          return;
        }
        self->Write(*aEntry);
      });
  }

private:
  void Write(const KeyValueEntry& aRead)
  {
    std::optional<std::string> present;
    if (aRead.m_revision != 0) {
      present = aRead.m_value;
    }
    TransformResult wanted = m_transform(present);
    if (wanted.m_action == TransformResult::Action::kStop) {
      if (wanted.m_status.ok()) {
        m_done(aRead);
        return;
      }
      m_done(wanted.m_status);
      return;
    }
    std::optional<std::string> value;
    if (wanted.m_action == TransformResult::Action::kWrite) {
      value = wanted.m_value;
    }
    m_keyValue.m_compareAndSwap(m_key,
                                aRead.m_revision,
                                value,
                                [self = shared_from_this(), value](
                                  absl::StatusOr<std::uint64_t> aRevision) {
                                  self->Written(std::move(aRevision),
                                                value.value_or(""));
                                });
  }

  void Written(absl::StatusOr<std::uint64_t> aRevision, std::string aValue)
  {
    if (aRevision.ok()) {
      m_done(KeyValueEntry{ *aRevision, std::move(aValue) });
      return;
    }
    if (absl::IsAborted(aRevision.status())) {
      m_unclear = 0;
      Read();
      return;
    }
    Unclear(aRevision.status());
  }

  void Unclear(const absl::Status& aWhy)
  {
    ++m_unclear;
    if (m_options.m_maxUnavailableResults != 0 &&
        m_unclear >= m_options.m_maxUnavailableResults) {
      m_done(aWhy);
      return;
    }
    m_timers.m_after(m_backoff, [self = shared_from_this()] { self->Read(); });
    m_backoff = std::min(m_backoff * 2, m_options.m_greatestBackoff);
  }

  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  std::string m_key;
  Transform m_transform;
  Done m_done;
  UpdateOptions m_options;
  Duration m_backoff;
  int m_unclear = 0;
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
  std::make_shared<UpdateRun>(
    aKeyValue, aTimers, aKey, std::move(aTransform), std::move(aDone), aOptions)
    ->Read();
}

} // namespace bergamotpaddle
