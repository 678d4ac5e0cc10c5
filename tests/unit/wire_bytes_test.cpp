/// \file
/// Tests of bytes that are not UTF-8 in the messages between gateways, also of
/// the previous build. Guards against requests and responses that a gateway
/// refuses because a client or a server uses another encoding.
#include "../../src/core/utf8.h"
#include "../../src/gateway/gateway_clock.h"
#include "../../src/gateway/wire_convert.h"

#include <boost/test/unit_test.hpp>
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>

#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace agatedale;

namespace {

namespace wire = agatedale::gateway;
namespace pb = google::protobuf;

const std::string Latin1 = "caf\xe9\xff";

/// The messages of the previous build, in which the fields that are bytes by
/// now are strings.
class previous_build {
public:
  previous_build() {
    pb::FileDescriptorProto File;
    wire::Header::descriptor()->file()->CopyTo(&File);
    for (pb::DescriptorProto &Message : *File.mutable_message_type()) {
      for (pb::FieldDescriptorProto &Field : *Message.mutable_field()) {
        const bool WasText =
            (Message.name() == "Header" && Field.name() == "value") ||
            (Message.name() == "Forward" &&
             (Field.name() == "target" || Field.name() == "id"));
        if (WasText)
          Field.set_type(pb::FieldDescriptorProto::TYPE_STRING);
      }
    }
    Built = Pool.BuildFile(File);
  }

  std::unique_ptr<pb::Message> make(const std::string &Name) {
    return std::unique_ptr<pb::Message>(
        Factory.GetPrototype(Built->FindMessageTypeByName(Name))->New());
  }

private:
  pb::DescriptorPool Pool;
  pb::DynamicMessageFactory Factory;
  const pb::FileDescriptor *Built = nullptr;
};

forward_request makeRequest(const std::string &Text) {
  forward_request Request;
  Request.Group = {"desk", "a", 0};
  Request.Id = "id-" + Text;
  Request.Message.Method = "GET";
  Request.Message.Target = "/" + Text;
  Request.Message.Headers.add("X-Name", Text);
  Request.Message.Body = Text;
  return Request;
}

void checkRequest(const wire::Forward &Message, const std::string &Text) {
  const auto Read = fromMessage(Message, bootNow());
  BOOST_REQUIRE(!errorOf(Read));
  const forward_request &Request = valueOf(Read);
  BOOST_TEST(Request.Id == "id-" + Text);
  BOOST_TEST(Request.Message.Target == "/" + Text);
  BOOST_TEST(Request.Message.Headers.get("X-Name") == Text);
  BOOST_TEST(Request.Message.Body == Text);
}

wire::Forwarded makeAnswer(const std::string &Text) {
  forward_response Answer;
  Answer.Verdict = verdict::Answered;
  Answer.Response = {200, {}, Text};
  Answer.Response.Headers.add("X-Name", Text);
  return toMessage(std::move(Answer));
}

} // namespace

BOOST_AUTO_TEST_SUITE(wire_bytes_test)

BOOST_AUTO_TEST_CASE(RequestPassesUnchanged) {
  wire::Forward Read;
  BOOST_REQUIRE(Read.ParseFromString(
      toMessage(makeRequest(Latin1), bootNow()).SerializeAsString()));
  checkRequest(Read, Latin1);
}

BOOST_AUTO_TEST_CASE(ResponsePassesUnchanged) {
  wire::Forwarded Read;
  BOOST_REQUIRE(Read.ParseFromString(makeAnswer(Latin1).SerializeAsString()));
  const forward_response Answer = fromMessage(std::move(Read));
  BOOST_TEST(Answer.Response.Headers.get("X-Name") == Latin1);
  BOOST_TEST(Answer.Response.Body == Latin1);
}

// The wire format of bytes and strings is the same.
BOOST_AUTO_TEST_CASE(TextPassesFromAndToThePreviousBuild) {
  previous_build Previous;
  const std::string Text = "caf\u00e9";
  const std::string Bytes =
      toMessage(makeRequest(Text), bootNow()).SerializeAsString();
  const auto Old = Previous.make("Forward");
  BOOST_REQUIRE(Old->ParseFromString(Bytes));
  wire::Forward Read;
  BOOST_REQUIRE(Read.ParseFromString(Old->SerializeAsString()));
  checkRequest(Read, Text);
  BOOST_TEST(Previous.make("Forwarded")
                 ->ParseFromString(makeAnswer(Text).SerializeAsString()));
}

// The previous build writes what it cannot read.
BOOST_AUTO_TEST_CASE(BytesPassFromThePreviousBuild) {
  previous_build Previous;
  const auto Old = Previous.make("Forward");
  const auto *Type = Old->GetDescriptor();
  const auto *Access = Old->GetReflection();
  Access->SetString(Old.get(), Type->FindFieldByName("group"), "desk/a/0");
  Access->SetString(Old.get(), Type->FindFieldByName("method"), "GET");
  Access->SetString(Old.get(), Type->FindFieldByName("id"), "id-" + Latin1);
  Access->SetString(Old.get(), Type->FindFieldByName("target"), "/" + Latin1);
  Access->SetString(Old.get(), Type->FindFieldByName("body"), Latin1);
  pb::Message *Header =
      Access->AddMessage(Old.get(), Type->FindFieldByName("headers"));
  Header->GetReflection()->SetString(
      Header, Header->GetDescriptor()->FindFieldByName("name"), "X-Name");
  Header->GetReflection()->SetString(
      Header, Header->GetDescriptor()->FindFieldByName("value"), Latin1);
  wire::Forward Read;
  BOOST_REQUIRE(Read.ParseFromString(Old->SerializeAsString()));
  checkRequest(Read, Latin1);
  BOOST_TEST(!Read.reads_bytes());
}

// The previous build refuses such a request as one that it has not run.
BOOST_AUTO_TEST_CASE(PreviousBuildCannotReadBytes) {
  previous_build Previous;
  BOOST_TEST(!Previous.make("Forward")->ParseFromString(
      toMessage(makeRequest(Latin1), bootNow()).SerializeAsString()));
}

// A response that the previous build cannot read would be lost as a whole.
BOOST_AUTO_TEST_CASE(ResponseIsMadeReadableForThePreviousBuild) {
  previous_build Previous;
  wire::Forwarded Answer = makeAnswer(Latin1);
  BOOST_TEST(
      !Previous.make("Forwarded")->ParseFromString(Answer.SerializeAsString()));
  BOOST_TEST(replaceInvalidUtf8(Answer) == 1);
  BOOST_TEST(
      Previous.make("Forwarded")->ParseFromString(Answer.SerializeAsString()));
  BOOST_TEST(Answer.headers(0).value() == "caf??");
  BOOST_TEST(Answer.body() == Latin1);
  BOOST_TEST(replaceInvalidUtf8(Answer) == 0);
}

// What a peer sends is written into messages for servers and callers: a line
// break or a second length would begin another one.
BOOST_AUTO_TEST_CASE(MessagesThatCannotBeEncodedAreInvalid) {
  const auto Good = toMessage(makeRequest(Latin1), bootNow());
  BOOST_TEST(whyInvalid(Good) == "");
  for (const auto &[Method, Target, Name, Value] :
       std::vector<std::array<std::string, 4>>{
           {"", "/x", "X-A", "a"},
           {"GET x", "/x", "X-A", "a"},
           {"GET", "", "X-A", "a"},
           {"GET", "/x HTTP/1.1\r\nX-B: b", "X-A", "a"},
           {"GET", "/x y", "X-A", "a"},
           {"GET", "/x", "", "a"},
           {"GET", "/x", "X-A: b\r\nX-B", "a"},
           {"GET", "/x", "X-A", "a\r\nX-B: b"},
           {"GET", "/x", "X-A", std::string("a\0b", 3)},
           {"GET", "/x", "Content-Length", "3"},
           {"GET", "/x", "transfer-encoding", "chunked"},
           {"GET", "/x", "Connection", "close"}}) {
    wire::Forward Request = Good;
    Request.set_method(Method);
    Request.set_target(Target);
    Request.mutable_headers(0)->set_name(Name);
    Request.mutable_headers(0)->set_value(Value);
    BOOST_TEST(whyInvalid(Request) != "", Method << Target << Name << Value);
    BOOST_TEST(errorOf(fromMessage(Request, bootNow())) != nullptr);
  }
  wire::Forward TwoHosts = Good;
  for (const char *Host : {"a.example", "b.example"}) {
    TwoHosts.add_headers()->set_name("Host");
    TwoHosts.mutable_headers(TwoHosts.headers_size() - 1)->set_value(Host);
  }
  BOOST_TEST(whyInvalid(TwoHosts) == "request with invalid headers");
  wire::Forwarded Answer = makeAnswer(Latin1);
  BOOST_TEST(whyInvalid(Answer) == "");
  Answer.mutable_headers(0)->set_value("a\nb");
  BOOST_TEST(whyInvalid(Answer) == "reply with invalid headers");
}

// Guards against a status that is none of HTTP, or that a reply does not have.
BOOST_AUTO_TEST_CASE(ReplyWithAnInvalidStatusIsInvalid) {
  wire::Forwarded Answer = makeAnswer("");
  for (const unsigned Status : {200U, 599U}) {
    Answer.set_status(Status);
    BOOST_TEST(whyInvalid(Answer) == "", Status);
  }
  for (const unsigned Status :
       {0U, 1U, 99U, 100U, 101U, 199U, 600U, 999U, 1000U, 4294967295U}) {
    Answer.set_status(Status);
    BOOST_TEST(whyInvalid(Answer) == "reply with an invalid status", Status);
  }
  BOOST_TEST(whyInvalid(wire::Forwarded()) == "reply with an invalid status");
}

BOOST_AUTO_TEST_CASE(BytesThatAreNotUtf8AreReplaced) {
  for (const auto &[Bytes, Text] : {
           std::pair<std::string, std::string>{"", ""},
           {"plain", "plain"},
           {"\u00e9\u20ac\U0001f600", "\u00e9\u20ac\U0001f600"},
           {"\xe9", "?"},
           {"a\xe2\x82", "a??"},         // Cut short.
           {"\xc0\xaf", "??"},           // Overlong.
           {"\xe0\x80\x80", "???"},      // Overlong.
           {"\xed\xa0\x80", "???"},      // A surrogate.
           {"\xf4\x90\x80\x80", "????"}, // Above U+10FFFF.
           {"\xf5\x80\xff", "???"},      // No lead byte.
           {"\xe2\x28\xa1", "?(?"},      // No continuation.
       })
    BOOST_TEST(toUtf8(Bytes) == Text);
}

BOOST_AUTO_TEST_SUITE_END()
