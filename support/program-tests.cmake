# Tests that run the built programs as a user would.

# A run with every fault, and one without each safeguard, which must break.
add_test(NAME soak COMMAND fulmar-soak --seed 1 --seeds 8)
set_tests_properties(soak PROPERTIES TIMEOUT 300 PASS_REGULAR_EXPRESSION
                     "soak: ok seeds 8 ")
foreach(safeguard fencing started_record dedupe group_numbers job_state)
  add_test(NAME soak-without-${safeguard} COMMAND fulmar-soak --seed 1 --seeds
                                                  20 --without ${safeguard})
endforeach()
set_tests_properties(
  soak-without-fencing soak-without-group_numbers PROPERTIES PASS_REGULAR_EXPRESSION
  "soak: broken at seed [0-9]+: invariant one_result is broken")
set_tests_properties(
  soak-without-started_record PROPERTIES PASS_REGULAR_EXPRESSION
  "soak: broken at seed [0-9]+: invariant at_most_once is broken")
set_tests_properties(
  soak-without-dedupe PROPERTIES PASS_REGULAR_EXPRESSION
  "soak: broken at seed [0-9]+: invariant (one_result|at_most_once) is broken")
set_tests_properties(
  soak-without-job_state PROPERTIES PASS_REGULAR_EXPRESSION
  "soak: broken at seed [0-9]+: invariant cancelled_stops is broken")

add_test(NAME fulmar-audit-program
         COMMAND ${CMAKE_SOURCE_DIR}/support/audit-test.sh
                 $<TARGET_FILE:fulmar-audit> $<TARGET_FILE:fulmar-order-cost>)
