#pragma once

/// \file
/// Reads the head of an answer, for every client of this project.

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <optional>

#include "fulmarpitch/net/coroutine.h"

namespace fulmar {

using answer_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// Checks what the parser takes and RFC 9110 and 9112 don't allow, or what no
/// answer to a request of this project may have.
/// \return the fault of a head; no error if it begins an answer.
boost::system::error_code check_answer_head(
    const boost::beast::http::response_header<>& head);

/// \return whether another head follows that belongs to the same request.
bool is_interim_status(unsigned status);

/// Prepares a parser for one more head.
/// \param max_head_bytes longest head to take.
void reset_parser(std::optional<answer_parser>& parser,
                  std::uint32_t max_head_bytes);

/// Reads heads until one is final.
/// \param parser receives the head, and reads the body then.
/// \param max_head_bytes longest head to take.
/// \return the error of the connection or the fault of the head.
template <typename Stream>
task<boost::system::error_code> read_final_head(
    Stream& stream, boost::beast::flat_buffer& buffer,
    std::optional<answer_parser>& parser, std::uint32_t max_head_bytes) {
  constexpr auto max_interim_heads = 16;
  for (auto n = 0; n <= max_interim_heads; ++n) {
    reset_parser(parser, max_head_bytes);
    auto [ec, size] = co_await boost::beast::http::async_read_header(
        stream, buffer, *parser, as_result);
    if (ec) co_return ec;
    if (auto fault = check_answer_head(parser->get())) co_return fault;
    if (!is_interim_status(parser->get().result_int()))
      co_return boost::system::error_code();
  }
  co_return make_error_code(boost::beast::http::error::bad_status);
}

}  // namespace fulmar
