#ifndef BERYLBARROW_VERSION_CONFIGURATION_DOCUMENT_PARSER_H_
#define BERYLBARROW_VERSION_CONFIGURATION_DOCUMENT_PARSER_H_

#include <string_view>

#include "berylbarrow/version/configuration/configuration_store.h"

namespace berylbarrow {

/// Parses the YAML document that operators publish and checks it: unknown keys, types, units,
/// ranges, duplicates and cross-references. Reports every finding with line and column.
class document_parser final : public configuration_parser {
 public:
  checked<configuration> Parse(std::string_view text, std::string_view file) const override;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_CONFIGURATION_DOCUMENT_PARSER_H_
