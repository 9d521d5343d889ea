#include "bergamotpaddle/Config/ConfigStore.h"

namespace bergamotpaddle {

ConfigStore::ConfigStore()
  : m_current(std::make_shared<Configuration>())
{
}

absl::Status
ConfigStore::Offer(const std::string& aDocument)
{
  absl::StatusOr<Configuration> configuration =
    Configuration::FromDocument(aDocument);
  if (!configuration.ok()) {
    return configuration.status();
  }
  if (configuration->m_version <= m_current->m_version) {
    return absl::OkStatus();
  }
  m_current = std::make_shared<const Configuration>(std::move(*configuration));
  m_document = aDocument;
  for (const ChangeHook& hook : m_hooks) {
    hook(m_current);
  }
  return absl::OkStatus();
}

} // namespace bergamotpaddle
