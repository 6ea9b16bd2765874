#ifndef BERYLBARROW_TESTS_SUPPORT_LOAD_TABLE_H_
#define BERYLBARROW_TESTS_SUPPORT_LOAD_TABLE_H_

#include <sstream>
#include <string>

namespace berylbarrow {

/// One row of the table that berylbarrow-load prints.
struct load_row {
  unsigned sent = 0;
  unsigned whole = 0;
  unsigned not_run = 0;
  unsigned unknown = 0;
  unsigned incomplete = 0;
  unsigned wrong = 0;
};

/// `name` is "drafts", "lookups", "payments" or "all". All zero if the row is missing.
inline load_row RowOf(const std::string& table, const std::string& name) {
  std::istringstream lines(table);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string first;
    load_row row;
    words >> first >> row.sent >> row.whole >> row.not_run >> row.unknown >> row.incomplete >>
        row.wrong;
    if (first == name && words) return row;
  }
  return {};
}

/// Whether the ledgers were read and agree with the answers.
inline bool LedgersAgree(const std::string& table) {
  return table.find(
             "ledger: 0 payments ran twice, 0 refused as not run but ran, 0 answered but "
             "not recorded") != std::string::npos;
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_LOAD_TABLE_H_
