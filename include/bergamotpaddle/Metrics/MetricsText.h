/// \file
/// Counters and gauges in the usual text format for `/metrics`.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace bergamotpaddle {

/// Labels of a sample, in the order written.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Builds the text of one scrape.
class MetricsText
{
public:
  /// Opens a family; samples that follow belong to it. \p aType is "counter"
  /// or "gauge".
  MetricsText& Family(const std::string& aName,
                      const std::string& aType,
                      const std::string& aHelp);
  MetricsText& Sample(double aValue, const MetricLabels& aLabels = {});
  /// A family with one sample.
  MetricsText& SingleSample(const std::string& aName,
                            const std::string& aType,
                            const std::string& aHelp,
                            double aValue);

  const std::string& Text() const { return m_text; }

private:
  std::string m_text;
  std::string m_family;
};

} // namespace bergamotpaddle
