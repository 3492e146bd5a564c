// Plays one case of the review: review-2 CASE FOLDER. The environment variable
// TROUBLE=0 leaves out the disruption.

#include <boost/json.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "cases.h"

namespace {

int play(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: review-2 CASE FOLDER\n";
    return 2;
  }
  const auto* text = std::getenv("TROUBLE");
  auto trouble = text == nullptr || std::string(text) != "0";
  auto name = std::string(argv[1]);
  auto at = review::stage(argv[2]);
  at.note(trouble ? "with the disruption" : "without the disruption");
  auto code = 2;
  if (name == "lost-service") code = at.run(review::lost_service(at, trouble));
  if (name == "long-prompts") code = at.run(review::long_prompts(at, trouble));
  if (name == "smuggled-request")
    code = at.run(review::smuggled_request(at, trouble));
  if (name == "upgraded-in-place")
    code = at.run(review::upgraded_in_place(at, trouble));
  if (name == "silent-store") code = at.run(review::silent_store(at, trouble));
  at.note("exit code " + std::to_string(code));
  std::cout << name << ": exit code " << code << std::endl;
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  // Unwinding ends the processes that the case started.
  try {
    return play(argc, argv);
  } catch (const std::exception& fault) {
    std::cerr << "review-2: " << fault.what() << std::endl;
    return 2;
  }
}
