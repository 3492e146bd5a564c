#pragma once

/// \file
/// Settings from flags, with environment variables as fallback.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// Exit code of a program whose command line or settings are wrong.
inline constexpr int usage_exit_code = 2;

/// A setting whose value is not allowed.
struct setting_error {
  std::string flag;
  std::string value;
  std::string allowed;
};

/// Spells an error in one line: flag, value and what is allowed.
std::string to_string(const setting_error& error);

/// Looks up an environment variable.
using environment = std::function<std::optional<std::string>(std::string_view)>;

/// The environment of this process.
environment process_environment();

/// The name of the variable that stands in for a flag.
/// \param flag such as `--data-centre`.
/// \return such as `FULMAR_DATA_CENTRE`.
std::string variable_for(std::string_view flag);

/// The values of a command line. A flag that was not given falls back on its
/// variable, then on the default in the usage text. Reads collect errors; the
/// program checks `errors` once, after it has read all its settings.
class settings {
 public:
  /// Parses a command line.
  /// \param usage the docopt text.
  /// \param args the arguments without the program's name.
  /// \param env the environment.
  /// \param version what `--version` prints.
  /// \return the settings; an error among `errors` when the command line does
  ///   not fit the usage.
  /// Prints and ends the process on `--help` and `--version`.
  static settings parse(const std::string& usage,
                        const std::vector<std::string>& args,
                        const environment& env = process_environment(),
                        const std::string& version = FULMAR_VERSION);

  /// Whether a flag without a value, or a command word, was given.
  bool has(const std::string& name) const;

  /// The text of a flag or a `<positional>`; empty when there is none.
  std::string text(const std::string& name) const;

  /// A text that must not be empty.
  std::string required(const std::string& name);

  /// A whole number within bounds.
  std::int64_t number(const std::string& name, std::int64_t least,
                      std::int64_t most);

  /// A span of time such as `250ms`, `5s` or `2m`, within bounds.
  instant duration(const std::string& name, instant least, instant most);

  /// A host and port such as `127.0.0.1:8080`.
  std::string address(const std::string& name);

  /// One of the names of an enumeration.
  template <typename E, std::size_t N>
  E choice(const std::string& name, const std::array<named<E>, N>& names) {
    const auto value = text(name);
    if (auto it = value_in(names, value)) return *it;
    auto allowed = std::string("one of");
    for (const auto& [it, spelling] : names) {
      allowed.append(" ").append(spelling);
    }
    add_error(name, value, allowed);
    return names.front().first;
  }

  /// The values of a flag that may be repeated; the variable separates them
  /// with commas.
  std::vector<std::string> list(const std::string& name) const;

  /// Adds an error that the program found itself.
  void add_error(std::string flag, std::string value, std::string allowed);

  const std::vector<setting_error>& errors() const { return errors_; }

 private:
  void set_from_variable(const std::string& name, const std::string& value,
                         bool is_switch, bool is_list);

  std::map<std::string, std::vector<std::string>> values_;
  std::map<std::string, bool> switches_;
  std::vector<setting_error> errors_;
};

/// Prints each error to stderr.
/// \return `usage_exit_code`.
int report_errors(const settings& values);

}  // namespace fulmar
