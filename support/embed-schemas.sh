#!/usr/bin/env bash
# Writes src/config/schema-text.cc from the files in schema/.
set -euo pipefail
cd "$(dirname "$0")/.."
{
  echo '#include "fulmarpitch/config/validation.h"'
  echo
  echo 'namespace fulmar {'
  for name in declarations ticket; do
    echo
    echo "std::string_view ${name}_schema() {"
    printf '  return R"json('
    cat "schema/$name.schema.json"
    echo ')json";'
    echo '}'
  done
  echo
  echo '}  // namespace fulmar'
} >src/config/schema-text.cc
