#ifndef BERYLBARROW_VERSION_CONFIGURATION_DOCUMENT_CONTEXT_H_
#define BERYLBARROW_VERSION_CONFIGURATION_DOCUMENT_CONTEXT_H_

#include <set>
#include <string>

#include "berylbarrow/version/configuration/configuration.h"
#include "process/runtime/finding_list.h"
#include "process/runtime/map_reader.h"

namespace berylbarrow {

/// What the sections of a document share while they are read. Sections are read in an order in
/// which every name is declared before it is referred to, whatever their order in the file.
struct document_context {
  finding_list& found;
  configuration value{};
  std::set<std::string> domains{};  // declared names
  unique_values process_names{};    // entries and upstreams: both send heartbeats under their name
  unique_values addresses{};        // "IP:port" of all processes
  unique_values models{};
};

/// Reads an address that other processes connect to, and reports one that is in use already.
void ReadProcessAddress(map_reader& reader, std::string_view key, std::string& value,
                        document_context& context);

/// Reads a reference to a failure domain.
void ReadDomainReference(map_reader& reader, std::string& value, document_context& context);

/// Reports the name of a failure domain that is not declared.
void CheckDomain(map_reader& reader, const std::string& name, const place& at,
                 const document_context& context);

/// Reads the section "services".
void ReadServices(map_reader& document, document_context& context);

/// Reads the section "expert_groups".
void ReadExpertGroups(map_reader& document, document_context& context);

/// Reads the section "move_plan".
void ReadMovePlan(map_reader& document, document_context& context);

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_CONFIGURATION_DOCUMENT_CONTEXT_H_
