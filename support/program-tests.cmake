# Tests that run the built programs as a user would.

# A run with every fault, and one without each safeguard, which must break.
add_test(NAME simulate COMMAND fulmar-simulate --seed 1 --seeds 8)
set_tests_properties(simulate PROPERTIES TIMEOUT 300 PASS_REGULAR_EXPRESSION
                     "simulation: ok seeds 8 ")
foreach(safeguard fencing started_record dedupe group_numbers job_state)
  add_test(NAME simulate-without-${safeguard} COMMAND fulmar-simulate --seed 1 --seeds
                                                  20 --without ${safeguard})
endforeach()
set_tests_properties(
  simulate-without-fencing simulate-without-group_numbers PROPERTIES PASS_REGULAR_EXPRESSION
  "simulation: broken at seed [0-9]+: invariant one_result is broken")
set_tests_properties(
  simulate-without-started_record PROPERTIES PASS_REGULAR_EXPRESSION
  "simulation: broken at seed [0-9]+: invariant at_most_once is broken")
set_tests_properties(
  simulate-without-dedupe PROPERTIES PASS_REGULAR_EXPRESSION
  "simulation: broken at seed [0-9]+: invariant (one_result|at_most_once) is broken")
set_tests_properties(
  simulate-without-job_state PROPERTIES PASS_REGULAR_EXPRESSION
  "simulation: broken at seed [0-9]+: invariant cancelled_stops is broken")

add_test(NAME fulmar-audit-program
         COMMAND ${CMAKE_SOURCE_DIR}/support/audit-test.sh
                 $<TARGET_FILE:fulmar-audit> $<TARGET_FILE:fulmar-order-cost>)

# Short seeds with real daemons; more are run by hand, see docs/SOAK.md.
add_test(NAME soak COMMAND fulmar-soak --program $<TARGET_FILE:fulmar-front>
                           --seed 1 --seeds 3 --seconds 6 --keep
                           ${CMAKE_BINARY_DIR}/soak)
set_tests_properties(soak PROPERTIES TIMEOUT 360 PASS_REGULAR_EXPRESSION
                     "soak: ok seeds 3 ")
