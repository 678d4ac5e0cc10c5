/// \file
/// HTTP calls to the platform's services.
#include "agatedale/platform_client.h"
#include "../core/log.h"
#include "../http/address.h"
#include "../http/observed_session.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <fmt/format.h>

#include <array>
#include <cstdlib>
#include <optional>

namespace agatedale {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

std::string encoded(std::string_view Name) {
  std::string Text;
  Poco::URI::encode(std::string(Name), "/?#%", Text);
  return Text;
}

std::uint64_t rowVersionOf(const HTTPResponse &Response) {
  const std::string Tag = Response.get("ETag", "");
  return Tag.size() < 2 ? 0 : std::strtoull(Tag.c_str() + 1, nullptr, 10);
}

/// Returns nothing if a field is missing or has another type.
std::optional<listed_vm> readVm(const Poco::JSON::Object::Ptr &Json) {
  std::array<std::string, 4> Texts;
  std::size_t Count = 0;
  for (const char *Field : {"name", "ip", "zone", "state"}) {
    const Poco::Dynamic::Var Value =
        Json ? Json->get(Field) : Poco::Dynamic::Var();
    if (Value.isEmpty() || !Value.isString())
      return std::nullopt;
    Texts[Count++] = Value.extract<std::string>();
  }
  return listed_vm{Texts[0], Texts[1], Texts[2], Texts[3] == "leaving"};
}

error unexpected(std::string_view What, int Status) {
  return {error_kind::Unavailable,
          fmt::format("{}: platform answered with status {}", What, Status)};
}

} // namespace

result<platform_client>
platform_client::create(const std::string &Address,
                        std::chrono::milliseconds Timeout) {
  const result<socket_address> Parsed = parseAddress(Address);
  if (const error *Error = errorOf(Parsed))
    return *Error;
  return platform_client(valueOf(Parsed).Ip, valueOf(Parsed).Port, Timeout);
}

result<platform_client::reply>
platform_client::call(const std::string &Method, const std::string &Path,
                      std::string_view Body, const std::string &Condition) {
  bool Sent = false;
  try {
    const Poco::Timespan Limit(Timeout.count() * 1000);
    const auto Session =
        observed_session::connect(Poco::Net::SocketAddress(Host, Port), Limit);
    Session->socket().setReceiveTimeout(Limit);
    Session->socket().setSendTimeout(Limit);
    HTTPRequest Request(Method, Path, HTTPRequest::HTTP_1_1);
    Request.setHost(Host, Port);
    Request.setKeepAlive(false);
    Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
    if (Condition == "0")
      Request.set("If-None-Match", "*");
    else if (!Condition.empty())
      Request.set("If-Match", "\"" + Condition + "\"");
    std::ostream &Output = Session->sendRequest(Request);
    Sent = true;
    Output.write(Body.data(), static_cast<std::streamsize>(Body.size()));
    HTTPResponse Response;
    std::istream &Input = Session->receiveResponse(Response);
    if (Session->hasEnded())
      return error{error_kind::Unknown, "platform: truncated answer head"};
    reply Reply;
    Poco::StreamCopier::copyToString(Input, Reply.Body);
    const bool BodyComplete = Response.getContentLength64() ==
                              static_cast<Poco::Int64>(Reply.Body.size());
    if (!BodyComplete)
      return error{error_kind::Unknown, "platform: truncated answer body"};
    Reply.Status = Response.getStatus();
    Reply.RowVersion = rowVersionOf(Response);
    return Reply;
  } catch (const Poco::Exception &Failure) {
    return error{
        Sent ? error_kind::Unknown : error_kind::Unavailable,
        fmt::format("platform {}:{}: {}", Host, Port, Failure.displayText())};
  }
}

result<table_row> platform_client::readRow(std::string_view Name) {
  result<reply> Reply =
      call(HTTPRequest::HTTP_GET, "/table/" + encoded(Name), {}, {});
  if (const error *Error = errorOf(Reply))
    return error{error_kind::Unavailable, Error->Message};
  reply &Value = valueOf(Reply);
  if (Value.Status == HTTPResponse::HTTP_NOT_FOUND)
    return error{error_kind::NotFound,
                 fmt::format("row {} does not exist", Name)};
  if (Value.Status != HTTPResponse::HTTP_OK)
    return unexpected(Name, Value.Status);
  return table_row{Value.RowVersion, std::move(Value.Body)};
}

result<std::uint64_t> platform_client::writeRow(std::string_view Name,
                                                std::string_view Value,
                                                std::uint64_t Expected) {
  const result<reply> Reply =
      call(HTTPRequest::HTTP_PUT, "/table/" + encoded(Name), Value,
           std::to_string(Expected));
  if (const error *Error = errorOf(Reply))
    return *Error;
  switch (valueOf(Reply).Status) {
  case HTTPResponse::HTTP_OK:
    return valueOf(Reply).RowVersion;
  case HTTPResponse::HTTP_PRECONDITION_FAILED:
    return error{error_kind::Conflict,
                 fmt::format("row {} was changed by another writer", Name)};
  case HTTPResponse::HTTP_SERVICE_UNAVAILABLE:
    return unexpected(Name, valueOf(Reply).Status);
  default:
    return error{error_kind::Unknown,
                 fmt::format("row {}: platform answered with status {}", Name,
                             valueOf(Reply).Status)};
  }
}

result<std::string> platform_client::getObject(std::string_view Name) {
  result<reply> Reply =
      call(HTTPRequest::HTTP_GET, "/objects/" + encoded(Name), {}, {});
  if (const error *Error = errorOf(Reply))
    return error{error_kind::Unavailable, Error->Message};
  if (valueOf(Reply).Status == HTTPResponse::HTTP_NOT_FOUND)
    return error{error_kind::NotFound,
                 fmt::format("object {} does not exist", Name)};
  if (valueOf(Reply).Status != HTTPResponse::HTTP_OK)
    return unexpected(Name, valueOf(Reply).Status);
  return std::move(valueOf(Reply).Body);
}

result<success> platform_client::putObject(std::string_view Name,
                                           std::string_view Value) {
  const result<reply> Reply =
      call(HTTPRequest::HTTP_PUT, "/objects/" + encoded(Name), Value, {});
  if (const error *Error = errorOf(Reply))
    return *Error;
  if (valueOf(Reply).Status != HTTPResponse::HTTP_OK)
    return unexpected(Name, valueOf(Reply).Status);
  return success{};
}

result<std::vector<listed_vm>> platform_client::listVms() {
  const result<reply> Reply = call(HTTPRequest::HTTP_GET, "/vms", {}, {});
  if (const error *Error = errorOf(Reply))
    return error{error_kind::Unavailable, Error->Message};
  if (valueOf(Reply).Status != HTTPResponse::HTTP_OK)
    return unexpected("list of VMs", valueOf(Reply).Status);
  try {
    Poco::JSON::Parser Parser;
    const auto List =
        Parser.parse(valueOf(Reply).Body).extract<Poco::JSON::Array::Ptr>();
    std::vector<listed_vm> Vms;
    for (std::size_t I = 0; I < List->size(); ++I) {
      if (auto Vm = readVm(List->getObject(static_cast<unsigned>(I))))
        Vms.push_back(std::move(*Vm));
      else
        logLine(log_level::Warning, "listed-vm-malformed", {{"entry", I}});
    }
    return Vms;
  } catch (const Poco::Exception &Failure) {
    return error{error_kind::Unavailable,
                 "malformed list of VMs: " + Failure.displayText()};
  }
}

} // namespace agatedale
