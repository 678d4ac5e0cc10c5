/// \file
/// Status, metrics and explanations.
#include "admin_server.h"
#include "node_clock.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <fmt/format.h>

#include <array>
#include <sstream>

namespace agatedale {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int AdminThreads = 8;
constexpr std::array<std::string_view, 3> TrafficClasses{"control", "answers",
                                                         "bulk"};

std::string print(const Object &Json) {
  std::ostringstream Text;
  Json.stringify(Text);
  return Text.str() + "\n";
}

Object::Ptr groupJson(const group_shard &Shard) {
  const group_load Load = Shard.load();
  const group_counters Counters = Shard.counters();
  Object::Ptr Json = new Object;
  Json->set("group", toText(Shard.id()));
  Json->set("queued", Load.Queued);
  Json->set("in_flight", Load.InFlight);
  Json->set("limit", Load.Limit);
  Json->set("typical_us", toMicros(Load.TypicalServiceTime));
  Json->set("sent", Counters.Sent);
  Json->set("retries", Counters.Retries);
  Json->set("hedges", Counters.Hedges);
  Json->set("refused", Counters.Refused);
  return Json;
}

Object::Ptr memberJson(const member_status &Member) {
  Object::Ptr Json = new Object;
  Json->set("vm", Member.Vm.Id.Name);
  Json->set("zone", Member.Vm.Zone);
  Json->set("region", Member.Vm.Region);
  Json->set("ready", Member.Vm.Ready);
  Json->set("leaving", Member.Vm.Leaving);
  Json->set("configuration", Member.ConfigurationVersion);
  return Json;
}

} // namespace

result<std::unique_ptr<admin_server>>
admin_server::start(const settings &Settings, const admin_parts &Parts) {
  std::unique_ptr<admin_server> Made(new admin_server(Settings, Parts));
  http_server_settings Http;
  Http.Address = fmt::format("{}:{}", Settings.Ip, Settings.AdminPort);
  Http.Threads = AdminThreads;
  auto Server = function_server::start(
      Http,
      [Self = Made.get()](http_request &Request, http_response &Response) {
        Self->answer(Request, Response);
      });
  if (const error *Error = errorOf(Server))
    return *Error;
  Made->Server = moveValue(std::move(Server));
  return Made;
}

void admin_server::answer(http_request &Request, http_response &Response) {
  const Poco::URI Uri(Request.getURI());
  const std::string &Path = Uri.getPath();
  if (Path == "/healthz") {
    sendText(Response, 200, "ok\n");
  } else if (Path == "/readyz") {
    const auto View = Parts.Path.view();
    const bool Ready = View->MayServe && !View->Leaving;
    sendText(Response, Ready ? 200 : 503,
             Ready           ? "ready\n"
             : View->Leaving ? "stopping\n"
                             : "not ready\n");
  } else if (Path == "/metrics") {
    exportGauges();
    sendText(Response, 200, Parts.Metrics.exportText(),
             "text/plain; version=0.0.4");
  } else if (Path == "/status") {
    sendText(Response, 200, statusJson(), "application/json");
  } else if (Path == "/explain") {
    std::string Subject;
    for (const auto &[Name, Value] : Uri.getQueryParameters())
      Subject = Name == "subject" ? Value : Subject;
    sendText(Response, 200, explainJson(Subject), "application/json");
  } else {
    sendText(Response, 404,
             "known: /healthz /readyz /metrics /status /explain\n");
  }
}

void admin_server::exportGauges() {
  metrics &Metrics = Parts.Metrics;
  const time_point Now = monotonicNow();
  Metrics.setGauge("agatedale_configuration_version", {},
                   static_cast<double>(Parts.Control.version()));
  Metrics.setGauge("agatedale_roster_epoch", {},
                   static_cast<double>(Parts.Control.currentRoster().Epoch));
  Metrics.setGauge("agatedale_live_members", {},
                   static_cast<double>(Parts.Control.live(Now).size()));
  Metrics.setGauge("agatedale_owned_groups", {},
                   static_cast<double>(Parts.Owned.groups().size()));
  Metrics.setGauge("agatedale_owned_key_partitions", {},
                   static_cast<double>(Parts.Owned.keyPartitions().size()));
  Metrics.setGauge("agatedale_requests_in_progress", {},
                   Parts.Path.inProgress());
  Metrics.setGauge("agatedale_control_messages_total", {},
                   static_cast<double>(Parts.Links.traffic().Messages.load()));
  Metrics.setGauge("agatedale_control_bytes_total", {},
                   static_cast<double>(Parts.Links.traffic().Bytes.load()));
  for (const auto &Shard : Parts.Owned.groups()) {
    const group_load Load = Shard->load();
    const metric_labels Labels = formatLabel("group", toText(Shard->id()));
    Metrics.setGauge("agatedale_group_queued", Labels, Load.Queued);
    Metrics.setGauge("agatedale_group_in_flight", Labels, Load.InFlight);
    Metrics.setGauge("agatedale_group_limit", Labels, Load.Limit);
  }
  const auto Counts = Parts.Path.linkCounts();
  for (std::size_t I = 0; I < Counts.size(); ++I) {
    const metric_labels Labels = formatLabel("class", TrafficClasses.at(I));
    Metrics.setGauge("agatedale_link_bytes_total", Labels,
                     static_cast<double>(Counts.at(I).Bytes));
    Metrics.setGauge("agatedale_link_refused_total", Labels,
                     static_cast<double>(Counts.at(I).Refused));
  }
}

std::string admin_server::statusJson() {
  const time_point Now = monotonicNow();
  const auto View = Parts.Path.view();
  const roster Roster = Parts.Control.currentRoster();
  Array::Ptr Members = new Array;
  for (const member_status &Member : Parts.Control.members(Now))
    Members->add(memberJson(Member));
  Array::Ptr Groups = new Array;
  for (const auto &Shard : Parts.Owned.groups())
    Groups->add(groupJson(*Shard));
  Array::Ptr Keys = new Array;
  for (const std::string &Partition : Parts.Owned.keyPartitions())
    Keys->add(Partition);
  Array::Ptr Voters = new Array;
  for (const vm_id &Voter : Roster.Voters)
    Voters->add(Voter.Name);
  Object::Ptr Link = new Object;
  const auto Counts = Parts.Path.linkCounts();
  for (std::size_t I = 0; I < Counts.size(); ++I)
    Link->set(std::string(TrafficClasses.at(I)), Counts.at(I).Bytes);
  Object Json;
  Json.set("vm", Settings.Vm);
  Json.set("zone", Settings.Zone);
  Json.set("region", Settings.Region);
  Json.set("ready", View->MayServe && !View->Leaving);
  Json.set("leaving", View->Leaving);
  Json.set("configuration", Parts.Control.version());
  Json.set("configuration_lease_ms",
           Settings.Timing.ConfigurationLease.count());
  Json.set("roster_epoch", Roster.Epoch);
  Json.set("voters", Voters);
  Json.set("members", Members);
  Json.set("groups", Groups);
  Json.set("key_partitions", Keys);
  Json.set("link_bytes", Link);
  Json.set("control_messages", Parts.Links.traffic().Messages.load());
  Json.set("control_bytes", Parts.Links.traffic().Bytes.load());
  return print(Json);
}

std::string admin_server::explainJson(const std::string &Subject) {
  Array::Ptr Events = new Array;
  for (const decision_event &Event : Parts.Events.findEvents(Subject)) {
    Object::Ptr Json = new Object;
    Json->set("at_ms", Event.At);
    Json->set("vm", Settings.Vm);
    Json->set("event", std::string(eventName(Event.Kind)));
    Json->set("subject", Event.Service);
    Json->set("request_id", Event.RequestId);
    Json->set("detail", Event.Detail);
    Events->add(Json);
  }
  Object Json;
  Json.set("events", Events);
  return print(Json);
}

} // namespace agatedale
