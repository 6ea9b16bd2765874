#include "process/cli/show.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <vector>

#include "connection/http/http_get.h"

namespace berylbarrow {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kTimeout{2};
constexpr std::size_t kMaxBodyBytes = 64U << 20;
constexpr unsigned kStatusOk = 200;

using table_row = std::vector<std::string>;

std::string Cell(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

bool IsTable(const json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(), [](const json& row) { return row.is_object(); });
}

std::vector<table_row> Rows(const json& list) {
  table_row header;
  for (const json& object : list) {
    for (const auto& [key, value] : object.items()) {
      if (std::find(header.begin(), header.end(), key) == header.end()) header.push_back(key);
    }
  }
  std::vector<table_row> rows = {header};
  for (const json& object : list) {
    table_row row;
    for (const std::string& key : header) {
      row.push_back(object.contains(key) ? Cell(object[key]) : "-");
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

void PrintRows(const std::vector<table_row>& rows, std::ostream& out) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const table_row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const table_row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      out << std::left << std::setw(last ? 0 : static_cast<int>(widths[i]) + 2) << row[i];
    }
    out << "\n";
  }
}

void PrintValue(const std::string& name, const json& value, std::ostream& out) {
  if (IsTable(value)) {
    out << "\n" << name << "\n";
    PrintRows(Rows(value), out);
  } else if (value.is_object()) {
    for (const auto& [key, member] : value.items()) {
      std::string path = name;
      if (!path.empty()) path += '.';
      path += key;
      PrintValue(path, member, out);
    }
  } else {
    out << (name.empty() ? "" : name + " ") << Cell(value) << "\n";
  }
}

}  // namespace

void PrintTable(const json& document, std::ostream& out) { PrintValue("", document, out); }

int Show(const std::string& address, const std::string& name, show_format format, std::ostream& out,
         std::ostream& err) {
  boost::asio::io_context context;
  http_get_reply reply;
  const http_get request(context,
                         {.address = address,
                          .target = "/" + name,
                          .timeout = kTimeout,
                          .max_body_bytes = kMaxBodyBytes},
                         [&](http_get_reply received) { reply = std::move(received); });
  context.run();
  if (!reply.error.empty()) {
    err << "berylbarrow: " << reply.error << "\n";
    return 1;
  }
  const json document = json::parse(reply.body, nullptr, false);
  if (reply.status != kStatusOk || document.is_discarded()) {
    err << "berylbarrow: http://" << address << "/" << name << " answered status " << reply.status
        << (document.is_discarded() ? " without JSON" : "") << "\n";
    return 1;
  }
  if (format == show_format::kTable) {
    PrintTable(document, out);
  } else {
    out << document.dump(2) << "\n";
  }
  return 0;
}

}  // namespace berylbarrow
