/// \file
/// Counters and gauges in the Prometheus text format, for `/metrics`.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace bergamotpaddle {

/// Names and values of a sample's labels, in output order.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Builds the response to one scrape.
class MetricsText
{
public:
  /// Starts a metric family; the samples that follow belong to it. \p aType is
  /// "counter" or "gauge".
  MetricsText& Family(const std::string& aName,
                      const std::string& aType,
                      const std::string& aHelp);
  MetricsText& Sample(double aValue, const MetricLabels& aLabels = {});
  /// Adds a family with one sample without labels.
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
