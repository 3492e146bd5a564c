#pragma once

/// \file
/// Splits a stream of server-sent events into whole events.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar {

/// One whole event.
struct stream_event {
  /// The event's id; nothing when it has none or one that is no number.
  std::optional<std::uint64_t> id;
  /// Its data lines, joined by line feeds.
  std::string data;
  /// The event has a data line, if only an empty one.
  bool has_data = false;
  /// The event as it arrived, with the empty line that ends it.
  std::string raw;
};

/// A stream that brings more bytes without news is no stream of events; events
/// of the engines have some hundred bytes.
inline constexpr std::size_t max_bytes_without_news = std::size_t{256} * 1024;

/// Bytes of a stream that do not make a whole event yet.
class event_splitter {
 public:
  /// Adds bytes as they arrived.
  void feed(std::string_view bytes) {
    rest_ += bytes;
    without_news_ += bytes.size();
  }

  /// Takes the next whole event.
  /// \return nothing while its end has not arrived.
  std::optional<stream_event> next();

  /// Notes that an event brought something new.
  void note_news() { without_news_ = 0; }

  /// \return whether the stream brings bytes without news and should be closed.
  bool is_endless() const { return without_news_ > max_bytes_without_news; }

  /// \return bytes of an event that broke off.
  std::string_view rest() const { return rest_; }

  /// \return whether an event has begun whose end has not arrived.
  bool is_inside_event() const;

  /// \return whether an event with an id or with data was taken.
  bool has_events() const { return has_events_; }

 private:
  std::string rest_;
  bool has_events_ = false;
  std::size_t without_news_ = 0;
};

}  // namespace fulmar
