// Grouped bar charts as SVG text.
#pragma once

#include <string>
#include <vector>

namespace yuccawick::bench {

struct BarGroup {
  std::string         label;   // shown below the group
  std::vector<double> values;  // one for each series
};

// Each group has one bar per series; each series has its own colour.
std::string BarChart(const std::string&              title,
                     const std::vector<std::string>& series,
                     const std::vector<BarGroup>&    groups);

}  // namespace yuccawick::bench
