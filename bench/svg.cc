#include "svg.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace yuccawick::bench {
namespace {

constexpr double                     kWidth = 720;
constexpr double                     kHeight = 300;
constexpr double                     kTop = 60;     // title and legend
constexpr double                     kBottom = 40;  // group labels
constexpr double                     kGap = 24;     // between groups
constexpr double                     kLegendStep = 170;
constexpr std::array<const char*, 5> kColours{"#9aa5b1", "#5f7d95", "#c9a66b",
                                              "#7a9e7e", "#b5533c"};

std::string Text(double x, double y, const std::string& text,
                 const char* anchor, int size) {
  std::ostringstream out;
  out << "<text x='" << x << "' y='" << y << "' font-size='" << size
      << "' text-anchor='" << anchor << "'>" << text << "</text>\n";
  return out.str();
}

std::string Bar(double x, double y, double width, double height,
                const char* colour) {
  std::ostringstream out;
  out << "<rect x='" << x << "' y='" << y << "' width='" << width
      << "' height='" << height << "' fill='" << colour << "'/>\n";
  return out.str();
}

std::string FormatValue(double value) {
  constexpr double   kLarge = 100;
  std::ostringstream out;
  out << std::fixed << std::setprecision(value < kLarge ? 1 : 0) << value;
  return out.str();
}

}  // namespace

std::string BarChart(const std::string&              title,
                     const std::vector<std::string>& series,
                     const std::vector<BarGroup>&    groups) {
  double max_value = 1e-9;
  for (const auto& group : groups) {
    for (const double value : group.values)
      max_value = std::max(max_value, value);
  }
  std::ostringstream out;
  out << std::fixed << std::setprecision(1)
      << "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 " << kWidth
      << " " << kHeight << "' font-family='sans-serif'>\n"
      << "<rect width='100%' height='100%' fill='white'/>\n"
      << Text(kGap, 22, title, "start", 15);
  for (std::size_t i = 0; i < series.size(); ++i) {
    const double x = kGap + kLegendStep * static_cast<double>(i);
    out << Bar(x, 32, 10, 10, kColours[i])
        << Text(x + 15, 41, series[i], "start", 11);
  }
  const double group_width =
      (kWidth - kGap) / static_cast<double>(groups.size());
  const double bar_width =
      (group_width - kGap) / static_cast<double>(series.size());
  const double plot_height = kHeight - kTop - kBottom - 12;
  for (std::size_t g = 0; g < groups.size(); ++g) {
    const double left = kGap + group_width * static_cast<double>(g);
    for (std::size_t i = 0; i < groups[g].values.size(); ++i) {
      const double height = plot_height * groups[g].values[i] / max_value;
      const double x = left + bar_width * static_cast<double>(i);
      const double y = kHeight - kBottom - height;
      out << Bar(x, y, bar_width - 2, height, kColours[i])
          << Text(x + bar_width / 2, y - 3, FormatValue(groups[g].values[i]),
                  "middle", 9);
    }
    out << Text(left + (group_width - kGap) / 2, kHeight - 20, groups[g].label,
                "middle", 12);
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace yuccawick::bench
