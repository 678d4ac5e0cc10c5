/// \file
/// Field by field conversions.
#include "wire.h"

namespace agatedale {

namespace {

constexpr int LastReason = static_cast<int>(refusal_reason::BodyIncomplete);
constexpr int LastVerdict = static_cast<int>(verdict::MayHaveRun);
constexpr int LastKeyState = static_cast<int>(key_state::Unknown);

key_state keyStateFromNumber(int Number) {
  return Number >= 0 && Number <= LastKeyState ? static_cast<key_state>(Number)
                                               : key_state::Unknown;
}

} // namespace

verdict verdictFromNumber(int Number) {
  return Number >= 0 && Number <= LastVerdict ? static_cast<verdict>(Number)
                                              : verdict::MayHaveRun;
}

refusal_reason reasonFromNumber(int Number) {
  return Number >= 0 && Number <= LastReason
             ? static_cast<refusal_reason>(Number)
             : refusal_reason::ServerBroke;
}

void toWire(const vm_id &From, wire::VmId &To) {
  To.set_name(From.Name);
  To.set_incarnation(From.Incarnation);
}

vm_id fromWire(const wire::VmId &From) {
  return {From.name(), From.incarnation()};
}

void toWire(const entry_vm &From, wire::Vm &To, bool Whole) {
  toWire(From.Id, *To.mutable_id());
  To.set_ready(From.Ready);
  To.set_leaving(From.Leaving);
  if (!Whole)
    return;
  To.set_ip(From.Ip);
  To.set_zone(From.Zone);
  To.set_region(From.Region);
}

entry_vm fromWire(const wire::Vm &From) {
  return {fromWire(From.id()), From.ip(),    From.zone(),
          From.region(),       From.ready(), From.leaving()};
}

void toWire(const roster &From, wire::Roster &To) {
  To.set_epoch(From.Epoch);
  for (const vm_id &Voter : From.Voters)
    toWire(Voter, *To.add_voters());
  for (const vm_id &Voter : From.Prior)
    toWire(Voter, *To.add_prior());
}

roster fromWire(const wire::Roster &From) {
  roster Roster;
  Roster.Epoch = From.epoch();
  for (const wire::VmId &Voter : From.voters())
    Roster.Voters.push_back(fromWire(Voter));
  for (const wire::VmId &Voter : From.prior())
    Roster.Prior.push_back(fromWire(Voter));
  return Roster;
}

void toWire(const lease_request &From, wire::LeaseRequest &To) {
  To.set_epoch(From.Epoch);
  To.set_sequence(From.Sequence);
  To.set_digest(From.Digest);
  To.set_whole(From.IsFullSet);
  for (const lease_subject &Subject : From.Subjects)
    To.add_subjects(Subject);
}

lease_request fromWire(const wire::LeaseRequest &From, const vm_id &Holder) {
  return {Holder,          From.epoch(),
          From.sequence(), From.digest(),
          From.whole(),    {From.subjects().begin(), From.subjects().end()}};
}

void toWire(const lease_reply &From, wire::LeaseReply &To) {
  To.set_epoch(From.Epoch);
  To.set_sequence(From.Sequence);
  To.set_accepted(From.Accepted);
  To.set_needs_whole(From.NeedsFullSet);
  for (const lease_subject &Subject : From.Granted)
    To.add_granted(Subject);
  toWire(From.HeldByOthers, *To.mutable_others());
}

lease_reply fromWire(const wire::LeaseReply &From) {
  lease_reply Reply;
  Reply.Epoch = From.epoch();
  Reply.Sequence = From.sequence();
  Reply.Accepted = From.accepted();
  Reply.NeedsFullSet = From.needs_whole();
  Reply.Granted.assign(From.granted().begin(), From.granted().end());
  Reply.HeldByOthers = fromWire(From.others());
  return Reply;
}

void toWire(const std::vector<lease_record> &From,
            google::protobuf::RepeatedPtrField<wire::Holding> &To) {
  for (const lease_record &Holding : From) {
    wire::Holding &Message = *To.Add();
    Message.set_subject(Holding.Subject);
    toWire(Holding.Holder, *Message.mutable_holder());
  }
}

std::vector<lease_record>
fromWire(const google::protobuf::RepeatedPtrField<wire::Holding> &From) {
  std::vector<lease_record> Holdings;
  for (const wire::Holding &Message : From)
    Holdings.push_back({Message.subject(), fromWire(Message.holder())});
  return Holdings;
}

std::uint64_t digestOf(const std::vector<lease_record> &Holdings) {
  std::uint64_t Digest = Holdings.size();
  for (const lease_record &Holding : Holdings)
    Digest ^= rendezvousWeight(Holding.Holder.Name, Holding.Subject) +
              Holding.Holder.Incarnation;
  return Digest;
}

void toWire(const header_list &From,
            google::protobuf::RepeatedPtrField<wire::Header> &To) {
  for (const auto &[Name, Value] : From) {
    wire::Header &Message = *To.Add();
    Message.set_name(Name);
    Message.set_value(Value);
  }
}

header_list
fromWire(const google::protobuf::RepeatedPtrField<wire::Header> &From) {
  header_list Headers;
  for (const wire::Header &Message : From)
    Headers.emplace_back(Message.name(), Message.value());
  return Headers;
}

void toWire(const group_load &From, wire::GroupLoad &To) {
  To.set_queued(From.Queued);
  To.set_in_flight(From.InFlight);
  To.set_limit(From.Limit);
  To.set_typical_us(toMicros(From.TypicalServiceTime));
}

group_load fromWire(const wire::GroupLoad &From) {
  return {From.queued(), From.in_flight(), From.limit(),
          std::chrono::microseconds(From.typical_us())};
}

void toWire(const node_request &From, const std::string &Group, time_point Now,
            wire::ForwardHead &To) {
  To.set_request_id(From.Id);
  To.set_method(From.Method);
  To.set_path(From.Path);
  toWire(From.Headers, *To.mutable_headers());
  To.set_account(From.Account);
  To.set_weight(From.Weight);
  To.set_group(Group);
  To.set_remaining_us(toMicros(From.Deadline - Now));
  To.set_idempotent(From.Idempotent);
  To.set_content_length(From.ContentLength);
  To.set_streamed(static_cast<bool>(From.Reader));
  if (!From.Reader)
    To.set_body(From.Body);
}

node_request fromWire(const wire::ForwardHead &From, time_point Now) {
  node_request Request;
  Request.Id = From.request_id();
  Request.Method = From.method();
  Request.Path = From.path();
  Request.Headers = fromWire(From.headers());
  Request.Account = From.account();
  Request.Weight = From.weight();
  Request.Deadline = Now + std::chrono::microseconds(From.remaining_us());
  Request.Idempotent = From.idempotent();
  Request.ContentLength = From.content_length();
  Request.Body = From.body();
  return Request;
}

void toWire(const node_answer &From, wire::AnswerHead &To) {
  To.set_verdict(static_cast<int>(From.Verdict));
  To.set_reason(static_cast<int>(From.Reason));
  To.set_status(From.Status);
  toWire(From.Headers, *To.mutable_headers());
  To.set_content_length(From.ContentLength);
  To.set_streamed(From.Streamed);
  To.set_owner_hint(From.OwnerHint);
  if (!From.Streamed)
    To.set_body(From.Body);
  if (From.Load)
    toWire(*From.Load, *To.mutable_load());
}

node_answer fromWire(const wire::AnswerHead &From) {
  node_answer Answer;
  Answer.Verdict = verdictFromNumber(From.verdict());
  Answer.Reason = reasonFromNumber(From.reason());
  Answer.Status = From.status();
  Answer.Headers = fromWire(From.headers());
  Answer.ContentLength = From.content_length();
  Answer.Streamed = From.streamed();
  Answer.OwnerHint = From.owner_hint();
  Answer.Body = From.body();
  if (From.has_load())
    Answer.Load = fromWire(From.load());
  return Answer;
}

void toWire(const inherited_attempt &From, time_point Now,
            wire::InheritedAttempt &To) {
  To.set_server(From.Server);
  To.set_attempt(From.Attempt);
  To.set_remaining_us(toMicros(From.Deadline - Now));
}

inherited_attempt fromWire(const wire::InheritedAttempt &From, time_point Now) {
  return {From.server(), From.attempt(),
          Now + std::chrono::microseconds(From.remaining_us())};
}

void toWire(const stored_answer &From, wire::KeptAnswer &To) {
  To.set_status(From.Status);
  toWire(From.Headers, *To.mutable_headers());
  To.set_body(From.Body);
}

std::shared_ptr<const stored_answer> fromWire(const wire::KeptAnswer &From) {
  auto Answer = std::make_shared<stored_answer>();
  Answer->Status = From.status();
  Answer->Headers = fromWire(From.headers());
  Answer->Body = From.body();
  return Answer;
}

void toWire(const key_entry &From, wire::KeyEntry &To) {
  To.set_account(From.Account);
  To.set_key(From.Key);
  To.set_fingerprint(From.Fingerprint);
  To.set_timestamp(From.Timestamp);
  To.set_claim(From.Claim);
  To.set_runs_until(From.RunsUntil);
  To.set_state(static_cast<int>(From.State));
  if (From.Answer)
    toWire(*From.Answer, *To.mutable_answer());
}

key_entry fromWire(const wire::KeyEntry &From) {
  key_entry Entry{From.account(),
                  From.key(),
                  From.fingerprint(),
                  From.timestamp(),
                  From.claim(),
                  From.runs_until(),
                  keyStateFromNumber(From.state()),
                  nullptr};
  if (From.has_answer())
    Entry.Answer = fromWire(From.answer());
  return Entry;
}

} // namespace agatedale
