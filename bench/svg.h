// Bar charts as SVG, enough for a page.
#pragma once

#include <string>
#include <vector>

namespace yuccawick::bench {

struct BarGroup {
  std::string         label;   // under the group
  std::vector<double> values;  // one for each series
};

// A chart with one colour for each series.
std::string BarChart(const std::string&              title,
                     const std::vector<std::string>& series,
                     const std::vector<BarGroup>&    groups);

}  // namespace yuccawick::bench
