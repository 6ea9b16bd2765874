#ifndef BERYLBARROW_BENCHMARKS_COMMON_TABLE_H_
#define BERYLBARROW_BENCHMARKS_COMMON_TABLE_H_

#include <array>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace berylbarrow::bench {

inline std::string Fixed(double value, int digits) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*f", digits, value);
  return text.data();
}

/// Rows of text, printed as a Markdown table and written as CSV.
class table {
 public:
  table(std::string title, std::vector<std::string> columns)
      : title_(std::move(title)), columns_(std::move(columns)) {}

  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

  void Print() const {
    std::printf("\n### %s\n\n", title_.c_str());
    PrintRow(columns_);
    PrintRow(std::vector<std::string>(columns_.size(), "---"));
    for (const auto& row : rows_) {
      PrintRow(row);
    }
    std::fflush(stdout);
  }

  /// Throws std::runtime_error if the file cannot be written.
  void WriteCsv(const std::string& path) const {
    std::ofstream file(path);
    WriteRow(file, columns_);
    for (const auto& row : rows_) {
      WriteRow(file, row);
    }
    if (!file.flush()) {
      throw std::runtime_error("cannot write " + path);
    }
  }

 private:
  static void PrintRow(const std::vector<std::string>& row) {
    std::printf("|");
    for (const std::string& cell : row) {
      std::printf(" %s |", cell.c_str());
    }
    std::printf("\n");
  }
  static void WriteRow(std::ofstream& file, const std::vector<std::string>& row) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      file << (i > 0 ? "," : "") << row[i];
    }
    file << "\n";
  }

  std::string title_;
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace berylbarrow::bench

#endif  // BERYLBARROW_BENCHMARKS_COMMON_TABLE_H_
