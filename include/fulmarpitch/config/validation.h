#pragma once

/// \file
/// Checks of JSON against a schema, and of references between objects.

#include <boost/json/value.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/config/configuration.h"

namespace fulmar {

/// The text of the published schema, schema/ticket.schema.json.
std::string_view ticket_schema();

/// Checks a document against a schema.
/// \param schema_text the schema's text.
/// \param document the document.
/// \param file the file's name, copied into each fault.
/// \return every fault.
std::vector<declaration_fault> check_schema(std::string_view schema_text,
                                            const boost::json::value& document,
                                            const std::string& file);

/// Parses JSON and refuses a field that stands twice in one object.
/// \param text the text.
/// \param file the file's name, copied into each fault.
/// \param faults receives every fault.
/// \return the document, or null when there was a fault.
boost::json::value parse_json(std::string_view text, const std::string& file,
                              std::vector<declaration_fault>& faults);

/// Where an object was declared.
struct object_place {
  std::string file;
  std::string path;
};

/// Objects with the places they were read from, as far as they could be read.
struct declared_objects {
  configuration value;
  std::map<object_key, object_place> places;
};

/// Checks references, shared names, ranks, shares and keys.
/// \param objects the objects; a key without a readable object counts as
///   declared.
/// \return every fault.
std::vector<declaration_fault> check_references(
    const declared_objects& objects);

}  // namespace fulmar
