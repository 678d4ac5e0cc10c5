/// \file
/// Tests of response_decoder with answers that end early.
#include "../../src/gateway/http_codec.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace agatedale;

namespace {

struct sample {
  const char *Name;
  std::string Bytes;
  bool IsHeadRequest = false;
};

/// Answers whose end is known from the answer itself.
const std::vector<sample> DelimitedAnswers{
    {"length", "HTTP/1.1 200 OK\r\nX-First: 1\r\nContent-Length: 11\r\n"
               "X-Last: 1\r\n\r\nhello world"},
    {"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Last: 1\r\n\r\n"},
    {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nX-T: 1\r\n\r\n"},
    {"interim", "HTTP/1.1 100 Continue\r\nX: 1\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"},
    {"204", "HTTP/1.1 204 No Content\r\nX-Last: 1\r\n\r\n"},
    {"304", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
    {"head", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nX-Last: 1\r\n\r\n",
     true},
    {"refusal",
     "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
    {"old", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello"}};

/// Feeds \p Bytes in pieces of \p PieceBytes and ends the input.
decode_state stateAtEnd(const sample &Sample, const std::string &Bytes,
                        std::size_t PieceBytes) {
  response_decoder Decoder({}, Sample.IsHeadRequest);
  std::string Buffer;
  for (std::size_t At = 0; At < Bytes.size(); At += PieceBytes) {
    Buffer += Bytes.substr(At, PieceBytes);
    const decode_state State = Decoder.feed(Buffer);
    if (State != decode_state::NeedMore)
      return State;
  }
  return Decoder.endOfInput();
}

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(decode_state)

BOOST_AUTO_TEST_SUITE(http_codec_test)

BOOST_AUTO_TEST_CASE(AnswerCutAtAnyByteIsNotComplete) {
  for (const sample &Sample : DelimitedAnswers) {
    for (const std::size_t PieceBytes : {std::size_t{1}, std::size_t{1000}}) {
      BOOST_TEST(stateAtEnd(Sample, Sample.Bytes, PieceBytes) ==
                     decode_state::Complete,
                 Sample.Name);
      for (std::size_t Cut = 0; Cut < Sample.Bytes.size(); ++Cut)
        BOOST_TEST(stateAtEnd(Sample, Sample.Bytes.substr(0, Cut),
                              PieceBytes) == decode_state::Failed,
                   Sample.Name << " cut at " << Cut);
    }
  }
}

// The end of the connection ends the body, but never the head.
BOOST_AUTO_TEST_CASE(HeadOfAnAnswerWithoutLengthIsNotEndedByTheConnection) {
  const sample Sample{"close", "HTTP/1.1 200 OK\r\nX-Last: 1\r\n\r\nhello"};
  const std::size_t HeadBytes = Sample.Bytes.find("hello");
  for (std::size_t Cut = 0; Cut < HeadBytes; ++Cut)
    BOOST_TEST(stateAtEnd(Sample, Sample.Bytes.substr(0, Cut), 1) ==
                   decode_state::Failed,
               "cut at " << Cut);
  BOOST_TEST(stateAtEnd(Sample, Sample.Bytes, 1) == decode_state::Complete);
}

// Feeding malformed chunks does not end the body early.
BOOST_AUTO_TEST_CASE(AnswerWithAMalformedLengthIsNotComplete) {
  for (const char *Rest :
       {"Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n-1\r\nhello\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloo\r\n0\r\n\r\n",
        "Content-Length: -1\r\n\r\n", "Content-Length: x\r\n\r\n",
        "Content-Length: 99999999999999999999\r\n\r\n"}) {
    const sample Sample{"malformed", std::string("HTTP/1.1 200 OK\r\n") + Rest};
    BOOST_TEST(stateAtEnd(Sample, Sample.Bytes, 1000) == decode_state::Failed,
               Rest);
  }
}

BOOST_AUTO_TEST_SUITE_END()
