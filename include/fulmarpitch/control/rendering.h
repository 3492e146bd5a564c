#pragma once

/// \file
/// Text for people out of JSON answers.

#include <boost/json/value.hpp>
#include <string>
#include <vector>

#include "fulmarpitch/config/tickets.h"

namespace fulmar {

/// Writes an array of objects as a table; nested values are left out.
/// \param rows the array.
/// \return aligned lines, the first with the columns' names.
std::string render_table(const boost::json::array& rows);

/// Writes an object's plain fields, one a line.
std::string render_fields(const boost::json::object& fields);

/// Writes a list of changes: what is added, changed and removed, and each
/// field that differs.
/// \param from the state that the changes start from.
/// \param changes the changes.
/// \return one line for each object and field.
std::string render_changes(const config_snapshot& from,
                           const std::vector<object_change>& changes);

/// Draws a bar of progress.
/// \param done how many of `total` are done.
/// \param total all of them.
/// \return such as `[#####     ] 50% 5/10`.
std::string render_progress(std::uint64_t done, std::uint64_t total);

}  // namespace fulmar
