/// \file
/// Asks the entry VMs of a fleet over their admin ports.
#pragma once

#include "agatedale/platform_service.h"
#include "agatedale/result.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace agatedale {

/// Sends one GET and returns the body of a 200 answer.
inline result<std::string> httpGet(const std::string &Ip, std::uint16_t Port,
                                   const std::string &Path,
                                   std::chrono::milliseconds Timeout) {
  try {
    Poco::Net::HTTPClientSession Session(Ip, Port);
    Session.setTimeout(Poco::Timespan(Timeout.count() * 1000));
    Poco::Net::HTTPRequest Request("GET", Path, "HTTP/1.1");
    Session.sendRequest(Request);
    Poco::Net::HTTPResponse Response;
    std::istream &Input = Session.receiveResponse(Response);
    std::string Text;
    Poco::StreamCopier::copyToString(Input, Text);
    if (Response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
      return error{error_kind::Unavailable,
                   Ip + ": status " + std::to_string(Response.getStatus())};
    return Text;
  } catch (const Poco::Exception &Failure) {
    return error{error_kind::Unavailable, Ip + ": " + Failure.displayText()};
  }
}

/// Asks one entry VM for a JSON page of its admin port.
inline result<Poco::JSON::Object::Ptr>
askVm(const listed_vm &Vm, std::uint16_t AdminPort, const std::string &Path,
      std::chrono::milliseconds Timeout) {
  const result<std::string> Text = httpGet(Vm.Ip, AdminPort, Path, Timeout);
  if (const error *Error = errorOf(Text))
    return *Error;
  try {
    Poco::JSON::Parser Parser;
    return Parser.parse(valueOf(Text)).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &Failure) {
    return error{error_kind::Unavailable,
                 Vm.Name + ": damaged answer: " + Failure.displayText()};
  }
}

} // namespace agatedale
