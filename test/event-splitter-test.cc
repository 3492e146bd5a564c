#include "fulmarpitch/net/event-splitter.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace fulmar;

namespace {

std::vector<stream_event> split(event_splitter& in) {
  auto out = std::vector<stream_event>();
  while (auto it = in.next())
    out.push_back(std::move(*it));
  return out;
}

}  // namespace

TEST_CASE("events are the same however the bytes arrive") {
  auto text =
      std::string("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n");
  for (auto size = std::size_t{1}; size <= text.size(); ++size) {
    auto in = event_splitter();
    auto events = std::vector<stream_event>();
    for (auto at = std::size_t{0}; at < text.size(); at += size) {
      in.feed(std::string_view(text).substr(at, size));
      for (auto& it : split(in))
        events.push_back(std::move(it));
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == 1);
    CHECK(events[0].data == "a");
    CHECK(events[1].id == 2);
    CHECK(events[1].data == "b\nc");
    CHECK(events[0].raw + events[1].raw == text);
    CHECK(in.rest().empty());
  }
}

TEST_CASE("an event that broke off is no event") {
  auto in = event_splitter();
  in.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n");
  CHECK(split(in).size() == 1);
  CHECK(in.rest() == "id: 2\ndata: b\n");
}

TEST_CASE("an id that is no number counts as none") {
  auto in = event_splitter();
  in.feed("id: x\ndata: a\n\n:comment\n\n");
  auto events = split(in);
  REQUIRE(events.size() == 2);
  CHECK_FALSE(events[0].id);
  CHECK(events[1].data.empty());
}

TEST_CASE("an event that has begun is told from line feeds behind an event") {
  struct ending {
    const char* text;
    bool inside;
    bool has_events;
  };
  auto it = GENERATE(values<ending>({{"", false, false},
                                     {":comment\n\n", false, false},
                                     {":comm", true, false},
                                     {"id: 1\n\n", false, true},
                                     {"data:\n\n\n\r\n", false, true},
                                     {"data:\n\ni", true, true},
                                     {"data: a\r\n\r", true, false}}));
  CAPTURE(it.text);
  auto in = event_splitter();
  in.feed(it.text);
  split(in);
  CHECK(in.is_inside_event() == it.inside);
  CHECK(in.has_events() == it.has_events);
}
