#pragma once

/// \file
/// One kept HTTP/1.1 connection to a target or to the platform's store.

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "fulmarpitch/net/coroutine.h"
#include "fulmarpitch/net/http.h"

namespace fulmar {

/// The head of an answer.
struct answer_head {
  int status = 0;
  std::vector<http_header> headers;
  /// Length of the body; nothing for chunks or a body that ends with the
  /// connection.
  std::optional<std::uint64_t> length;
  /// The body has neither a length nor chunks and ends with the connection.
  bool ends_with_connection = false;
};

class http_link;

/// An answer may always be kept up to this size while it is read.
inline constexpr std::size_t min_kept_answer_bytes = std::size_t{64} * 1024;

/// All open links, so that one tick can close those whose time is up.
class link_table {
 public:
  /// Closes every link whose deadline has passed.
  void close_expired(instant now);
  std::size_t size() const { return links_.size(); }

  /// Limits the answers that all links together keep while they are read.
  void limit_kept_bytes(std::size_t most) { max_kept_bytes_ = most; }
  std::size_t kept_bytes() const { return kept_bytes_; }

  /// Records a request that got no byte of an answer in its time.
  /// \param address the address that it was sent to.
  /// \param sent when it was sent, on the steady clock.
  void note_silence(const std::string& address, instant sent);

  /// \param heard when a connection last carried an answer, on the steady
  ///     clock.
  /// \return whether a request to the address was sent since then and got no
  ///     answer, so that the connection may be silent, too.
  bool may_be_silent(const std::string& address, instant heard) const;

  /// Forgets requests that were sent before a moment on the steady clock.
  void forget_silences(instant before);

  /// \return the requests that got no byte of an answer in their time.
  std::uint64_t silences() const { return silences_; }

 private:
  friend class http_link;
  friend class kept_answer;
  std::unordered_set<http_link*> links_;
  /// By address: when the newest unanswered request was sent.
  absl::flat_hash_map<std::string, instant> unanswered_;
  std::uint64_t silences_ = 0;
  std::size_t kept_bytes_ = 0;
  std::size_t max_kept_bytes_ = std::numeric_limits<std::size_t>::max();
};

/// A connection that carries one exchange at a time. Every error closes it.
class http_link {
 public:
  /// \param io the loop.
  /// \param table where the link is listed while it lives.
  /// \param address IP address and port of the other side.
  /// \param source IP address to connect from; empty to let the system choose.
  http_link(asio::io_context& io, std::shared_ptr<link_table> table,
            std::string address, std::string source = {});
  ~http_link();
  http_link(const http_link&) = delete;
  http_link& operator=(const http_link&) = delete;

  const std::string& address() const { return address_; }

  /// Opens the connection. An error means that nothing was sent.
  task<absl::Status> connect();

  /// Sends one request and starts a new exchange.
  /// \param head request line and headers, with the empty line.
  /// \param body the body.
  /// \return an error when the request may have been sent in part.
  task<absl::Status> send(std::string_view head, std::string_view body);

  /// Reads the head of the next answer.
  /// \return the head, `attempt_failed` for a broken connection or bytes that
  ///     are no answer, `deadline_exceeded` when the deadline passed first.
  task<absl::StatusOr<answer_head>> read_head();

  /// Reads more of the answer's body.
  /// \return the next bytes, valid until the next call; nothing at the end of
  ///     a complete body; an error when the body broke off.
  task<absl::StatusOr<std::string_view>> read_piece();

  /// Reads the rest of the body. A long one fails, too, while the links of the
  /// table together keep more than they may.
  /// \param limit most bytes to take.
  task<absl::StatusOr<std::string>> read_rest(std::size_t limit);

  /// \return whether the connection carried an exchange before the last one, so
  ///     that an earlier answer may come once more.
  bool was_used_before() const { return exchanges_ > 1; }

  /// Records that the other side refused a request. A faulty one may repeat the
  /// refusal later, when it would be taken for the answer to a retry.
  void note_refusal(std::string_view request_id);

  /// \return whether a request with this id was refused on the connection.
  bool has_refused(std::string_view request_id) const;

  /// Sets the moment at which the link is closed; nothing for no bound.
  void expire_at(std::optional<instant> when) { deadline_ = when; }

  /// Closes the connection; operations under way fail. An exchange without its
  /// whole answer is reset, so that nothing more of it reaches the other side.
  void close();
  bool is_open() const { return socket_.is_open(); }

  /// \return whether the answer was read to its end, the other side keeps the
  ///     connection, and the list of refused requests is not full.
  bool reusable() const;

  /// \return whether an idle connection is open and has no bytes waiting,
  ///     which would belong to no request.
  bool is_quiet();

  /// Time for which the other side keeps an idle connection, if it said so.
  std::optional<instant> idle_limit() const { return idle_limit_; }

 private:
  friend class link_table;
  using parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /// Binds the socket to the address to connect from.
  boost::system::error_code bind_source();
  absl::Status failure(std::string_view what,
                       const boost::system::error_code& ec);
  void note_keep_alive(const answer_head& head);

  static constexpr std::size_t piece_bytes = std::size_t{8} * 1024;
  /// An answer's head may be this long; targets send a dozen short headers.
  static constexpr std::uint32_t max_head_bytes = 64 * 1024;
  /// Bytes that the parser may hold back: a head, or the size, extension or
  /// trailers of chunks, which it bounds by nothing else.
  static constexpr std::size_t max_input_bytes =
      std::size_t{2} * max_head_bytes;

  /// Refused requests that are remembered before the connection is closed.
  static constexpr std::size_t max_refusals = 32;

  tcp::socket socket_;
  std::shared_ptr<link_table> table_;
  std::string address_;
  std::string source_;
  boost::beast::flat_buffer input_{max_input_bytes};
  std::optional<parser> parser_;
  std::array<char, piece_bytes> piece_{};
  std::optional<instant> deadline_;
  std::optional<instant> idle_limit_;
  std::vector<std::string> refused_;
  std::uint32_t exchanges_ = 0;
  instant sent_at_{};
  bool expired_ = false;
  bool sending_ = false;
  /// A byte of the answer has arrived.
  bool heard_ = false;
};

using link_ptr = std::shared_ptr<http_link>;

}  // namespace fulmar
