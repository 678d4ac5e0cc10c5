/// \file
/// Field-by-field conversion of gateway messages.
#include "wire_convert.h"

#include "../core/utf8.h"
#include "body_parts.h"
#include "rollout_messages.h"

#include <algorithm>
#include <cstdint>

namespace agatedale {

namespace {

namespace wire = agatedale::gateway;

template <typename Message>
void writeHeaders(const header_list &Headers, Message &Out) {
  for (const auto &[Name, Value] : Headers.all()) {
    wire::Header &Header = *Out.add_headers();
    Header.set_name(Name);
    Header.set_value(Value);
  }
}

template <typename Message> header_list readHeaders(const Message &In) {
  header_list Headers;
  for (const wire::Header &Header : In.headers())
    Headers.add(Header.name(), Header.value());
  return Headers;
}

/// Returns true if \p Text is a name of RFC 9110, 5.6.2.
bool isToken(std::string_view Text) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [&](char C) {
    const bool IsLetterOrDigit = (C >= 'a' && C <= 'z') ||
                                 (C >= 'A' && C <= 'Z') ||
                                 (C >= '0' && C <= '9');
    return IsLetterOrDigit || Marks.find(C) != std::string_view::npos;
  });
}

bool isControl(char C) {
  constexpr char Delete = '\x7f';
  return static_cast<unsigned char>(C) < ' ' || C == Delete;
}

/// Checks the headers of a message whose framing headers its sender has
/// removed.
template <typename Message> bool hasValidHeaders(const Message &In) {
  int Hosts = 0;
  for (const wire::Header &Header : In.headers()) {
    const std::string &Name = Header.name();
    const std::string &Value = Header.value();
    const bool IsFraming = equalNames(Name, "Content-Length") ||
                           equalNames(Name, "Transfer-Encoding") ||
                           equalNames(Name, "Connection");
    const bool IsText = std::none_of(Value.begin(), Value.end(), [](char C) {
      return isControl(C) && C != '\t';
    });
    Hosts += equalNames(Name, "Host") ? 1 : 0;
    if (!isToken(Name) || IsFraming || !IsText)
      return false;
  }
  return Hosts <= 1;
}

std::uint32_t millisUntil(time_point Until, time_point Now) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(toMillis(Until - Now), 0));
}

/// Returns the age of \p Time, rounded up so that no conversion makes it less.
std::uint32_t ageInMillis(time_point Time, time_point Now) {
  const auto Age = std::chrono::ceil<std::chrono::milliseconds>(Now - Time);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Age.count(), 0, UINT32_MAX));
}

} // namespace

wire::Forward toMessage(const forward_request &Request, time_point Now) {
  wire::Forward Message;
  Message.set_group(toText(Request.Group));
  Message.set_route(Request.Route);
  Message.set_method(Request.Message.Method);
  Message.set_target(Request.Message.Target);
  writeHeaders(Request.Message.Headers, Message);
  if (bodyBeside(Request.Message.Body).empty())
    Message.set_body(std::string(Request.Message.Body.view()));
  Message.set_deadline_ms(millisUntil(Request.Deadline, Now));
  if (Request.Aim > time_point{}) {
    // Zero means no aim.
    const auto Left = static_cast<std::int32_t>(toMillis(Request.Aim - Now));
    Message.set_aim_ms(Left == 0 ? -1 : Left);
  }
  Message.set_priority(Request.Priority);
  Message.set_idempotent(Request.Idempotent);
  Message.set_attempts_left(static_cast<std::uint32_t>(Request.MaxAttempts));
  Message.set_attempts_before(
      static_cast<std::uint32_t>(Request.AttemptsBefore));
  Message.set_offers_before(static_cast<std::uint32_t>(Request.OffersBefore));
  Message.set_id(Request.Id);
  Message.set_reads_bytes(true);
  Message.set_relayed(Request.Relayed);
  Message.set_reroutable(Request.IsReroutable);
  Message.set_made_at_us(
      static_cast<std::uint64_t>(toMicros(Now.time_since_epoch())));
  Message.set_age_ms(millisUntil(Now, Request.ArrivedAt));
  Message.set_versions(static_cast<std::uint32_t>(Request.Versions));
  Message.set_account(Request.Account);
  if (!Request.Account.empty())
    Message.set_account_weight(
        static_cast<std::uint32_t>(Request.AccountWeight));
  Message.set_configuration(Request.ConfigurationVersion);
  Message.set_key_check(Request.KeyCheck);
  if (Request.ConfigurationAsOf > time_point{})
    Message.set_configuration_age_ms(
        ageInMillis(Request.ConfigurationAsOf, Now));
  if (Request.Finish.isSet()) {
    Message.set_finish_ms(millisUntil(Request.Finish.By, Now));
    Message.set_unmeasured_ms(millisUntil(Request.Finish.UnmeasuredUntil, Now));
  }
  return Message;
}

result<forward_request> fromMessage(const wire::Forward &Message,
                                    time_point MadeAt) {
  const std::string_view Why = whyInvalid(Message);
  if (!Why.empty())
    return error{error_kind::InvalidInput, std::string(Why)};
  const result<group_id> Group = parseGroupId(Message.group());
  if (const error *Error = errorOf(Group))
    return *Error;
  forward_request Request;
  Request.Group = valueOf(Group);
  Request.Route = Message.route();
  Request.Message.Method = Message.method();
  Request.Message.Target = Message.target();
  Request.Message.Headers = readHeaders(Message);
  Request.Message.Body = Message.body();
  Request.ArrivedAt = MadeAt - std::chrono::milliseconds(Message.age_ms());
  Request.Deadline = MadeAt + std::chrono::milliseconds(Message.deadline_ms());
  if (Message.aim_ms() != 0)
    Request.Aim = MadeAt + std::chrono::milliseconds(Message.aim_ms());
  Request.Priority = Message.priority();
  Request.Idempotent = Message.idempotent();
  Request.MaxAttempts = static_cast<int>(Message.attempts_left());
  Request.AttemptsBefore = static_cast<int>(Message.attempts_before());
  Request.OffersBefore = static_cast<int>(Message.offers_before());
  Request.Id = Message.id();
  Request.Relayed = Message.relayed();
  Request.IsReroutable = Message.reroutable();
  Request.Versions = readVersionChoice(Message.versions());
  Request.Account = Message.account();
  Request.AccountWeight =
      std::max(1, static_cast<int>(Message.account_weight()));
  Request.ConfigurationVersion = Message.configuration();
  Request.KeyCheck = Message.key_check();
  if (Message.has_configuration_age_ms())
    Request.ConfigurationAsOf =
        MadeAt - std::chrono::milliseconds(Message.configuration_age_ms());
  if (Message.has_finish_ms())
    Request.Finish = {MadeAt + std::chrono::milliseconds(Message.finish_ms()),
                      MadeAt +
                          std::chrono::milliseconds(Message.unmeasured_ms())};
  return Request;
}

wire::Forwarded toMessage(forward_response Answer) {
  wire::Forwarded Message;
  Message.set_verdict(static_cast<std::uint32_t>(Answer.Verdict));
  Message.set_reason(static_cast<std::uint32_t>(Answer.Reason));
  Message.set_status(static_cast<std::uint32_t>(Answer.Response.Status));
  writeHeaders(Answer.Response.Headers, Message);
  if (bodyBeside(Answer.Response.Body).empty())
    Message.set_body(std::string(Answer.Response.Body.view()));
  Message.set_come_back_ms(
      static_cast<std::uint32_t>(toMillis(Answer.RetryAfter)));
  Message.set_attempts(static_cast<std::uint32_t>(Answer.Attempts));
  Message.set_server(Answer.Server);
  if (Answer.Group)
    Message.set_group(toText(*Answer.Group));
  if (Answer.Load) {
    wire::Load &Load = *Message.mutable_load();
    Load.set_queued(static_cast<std::uint32_t>(Answer.Load->Queued));
    Load.set_in_flight(static_cast<std::uint32_t>(Answer.Load->InFlight));
    Load.set_limit(static_cast<std::uint32_t>(Answer.Load->Limit));
    Load.set_typical_us(
        static_cast<std::uint32_t>(toMicros(Answer.Load->TypicalServiceTime)));
  }
  return Message;
}

forward_response fromMessage(wire::Forwarded Message) {
  forward_response Answer;
  // An unknown verdict of a newer peer must not be mistaken for a success.
  Answer.Verdict =
      Message.verdict() > static_cast<std::uint32_t>(verdict::MayHaveRun)
          ? verdict::MayHaveRun
          : static_cast<verdict>(Message.verdict());
  Answer.Reason = static_cast<refusal_reason>(Message.reason());
  Answer.Response.Status = static_cast<int>(Message.status());
  Answer.Response.Headers = readHeaders(Message);
  Answer.Response.Body = std::move(*Message.mutable_body());
  Answer.RetryAfter = std::chrono::milliseconds(Message.come_back_ms());
  Answer.Attempts = static_cast<int>(Message.attempts());
  Answer.Server = Message.server();
  if (const auto Group = parseGroupId(Message.group()); !errorOf(Group))
    Answer.Group = valueOf(Group);
  if (Message.has_load()) {
    group_load Load;
    Load.Queued = static_cast<int>(Message.load().queued());
    Load.InFlight = static_cast<int>(Message.load().in_flight());
    Load.Limit = static_cast<int>(Message.load().limit());
    Load.TypicalServiceTime =
        std::chrono::microseconds(Message.load().typical_us());
    Answer.Load = Load;
  }
  return Answer;
}

std::string_view whyInvalid(const wire::Forward &Message) {
  const std::string &Target = Message.target();
  const bool IsTarget =
      !Target.empty() && std::none_of(Target.begin(), Target.end(), [](char C) {
        return isControl(C) || C == ' ';
      });
  if (!isToken(Message.method()) || !IsTarget)
    return "request with an invalid start line";
  return hasValidHeaders(Message) ? "" : "request with invalid headers";
}

std::string_view whyInvalid(const wire::Forwarded &Message) {
  const bool IsAnswered =
      Message.verdict() == static_cast<std::uint32_t>(verdict::Answered);
  if (IsAnswered && !isFinalStatus(Message.status()))
    return "reply with an invalid status";
  return hasValidHeaders(Message) ? "" : "reply with invalid headers";
}

int replaceInvalidUtf8(wire::Forwarded &Answer) {
  int Changed = 0;
  for (wire::Header &Header : *Answer.mutable_headers()) {
    std::string Text = toUtf8(Header.value());
    if (Text == Header.value())
      continue;
    Header.set_value(std::move(Text));
    ++Changed;
  }
  return Changed;
}

void addRegistrations(std::span<const known_registration> Registrations,
                      wire::Heartbeat &Out) {
  for (const known_registration &Registration : Registrations) {
    wire::ServerRegistration &Wire = *Out.add_registrations();
    Wire.set_name(Registration.Name);
    Wire.set_start(Registration.Number.Start);
    Wire.set_sequence(Registration.Number.Sequence);
    Wire.set_leaving(Registration.IsLeaving);
  }
}

std::vector<known_registration> readRegistrations(const wire::Heartbeat &In) {
  std::vector<known_registration> Registrations;
  for (const wire::ServerRegistration &Wire : In.registrations()) {
    if (Registrations.size() == server_registrations::MaxShared)
      break;
    Registrations.push_back(
        {Wire.name(), {Wire.start(), Wire.sequence()}, Wire.leaving()});
  }
  return Registrations;
}

wire::TableNews toMessage(const table_update &Update, time_point Now) {
  wire::TableNews Message;
  Message.set_table(static_cast<std::uint32_t>(Update.Table));
  // The changes since a version of another era are a snapshot.
  Message.set_since(Update.Since.Number);
  Message.set_position(Update.Position.Number);
  Message.set_era(Update.Position.Era);
  Message.set_whole(Update.IsSnapshot);
  Message.set_age_ms(millisUntil(Now, Update.AsOf));
  if (Update.Table == store_table::Operators &&
      Update.ProvenAsOf > time_point{})
    Message.set_proven_age_ms(ageInMillis(Update.ProvenAsOf, Now));
  addRows(Update.Rows, Message);
  return Message;
}

void addRows(std::span<const stored_row> Rows, wire::TableNews &Message) {
  for (const stored_row &Row : Rows) {
    wire::Row &Out = *Message.add_rows();
    Out.set_key(Row.Key);
    Out.set_value(Row.Value);
    Out.set_version(Row.Version.Number);
    Out.set_removed(Row.Removed);
  }
}

result<table_update> fromMessage(const wire::TableNews &Message, time_point Now,
                                 std::optional<time_point> RequestedAt) {
  if (Message.table() >= AllStoreTables.size())
    return error{error_kind::InvalidInput,
                 "table update names an unknown table"};
  table_update Update;
  Update.Table = static_cast<store_table>(Message.table());
  const std::uint64_t Era = Message.era();
  Update.Since = {Era, Message.since()};
  Update.Position = {Era, Message.position()};
  Update.IsSnapshot = Message.whole();
  Update.AsOf = Now - std::chrono::milliseconds(Message.age_ms());
  if (Message.has_proven_age_ms() && RequestedAt)
    Update.ProvenAsOf =
        *RequestedAt - std::chrono::milliseconds(Message.proven_age_ms());
  for (const wire::Row &Row : Message.rows())
    Update.Rows.push_back(
        {Row.key(), Row.value(), {Era, Row.version()}, Row.removed()});
  return Update;
}

} // namespace agatedale
