#include "bergamotpaddle/Metrics/MetricsText.h"

#include <nlohmann/json.hpp>

namespace bergamotpaddle {

namespace {

/// Returns a label value in quotes. Escaping in this format is the same as in
/// JSON.
std::string
QuoteLabelValue(const std::string& aValue)
{
  return nlohmann::json(aValue).dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
FormatNumber(double aValue)
{
  return nlohmann::json(aValue).dump();
}

} // namespace

MetricsText&
MetricsText::Family(const std::string& aName,
                    const std::string& aType,
                    const std::string& aHelp)
{
  m_family = "bergamotpaddle_" + aName;
  m_text += "# HELP " + m_family + " " + aHelp + "\n# TYPE " + m_family + " " +
            aType + "\n";
  return *this;
}

MetricsText&
MetricsText::Sample(double aValue, const MetricLabels& aLabels)
{
  m_text += m_family;
  const char* separator = "{";
  for (const auto& [name, value] : aLabels) {
    m_text += separator + name + "=" + QuoteLabelValue(value);
    separator = ",";
  }
  m_text += (aLabels.empty() ? " " : "} ") + FormatNumber(aValue) + "\n";
  return *this;
}

MetricsText&
MetricsText::SingleSample(const std::string& aName,
                          const std::string& aType,
                          const std::string& aHelp,
                          double aValue)
{
  return Family(aName, aType, aHelp).Sample(aValue);
}

} // namespace bergamotpaddle
