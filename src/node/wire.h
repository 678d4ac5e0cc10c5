/// \file
/// Conversions between the core's types and the messages between entry VMs.
#pragma once

#include "agatedale/entry_vm.h"
#include "agatedale/key_table.h"
#include "agatedale/lease.h"
#include "agatedale/roster.h"
#include "request.h"

#include "agatedale.pb.h"

#include <memory>
#include <vector>

namespace agatedale {

/// Numbers that this version does not know become the careful choice.
verdict verdictFromNumber(int Number);
refusal_reason reasonFromNumber(int Number);

void toWire(const vm_id &From, wire::VmId &To);
vm_id fromWire(const wire::VmId &From);

/// Leaves address and places out unless \p Whole.
void toWire(const entry_vm &From, wire::Vm &To, bool Whole = true);
entry_vm fromWire(const wire::Vm &From);

void toWire(const roster &From, wire::Roster &To);
roster fromWire(const wire::Roster &From);

void toWire(const lease_request &From, wire::LeaseRequest &To);
lease_request fromWire(const wire::LeaseRequest &From, const vm_id &Holder);

void toWire(const lease_reply &From, wire::LeaseReply &To);
lease_reply fromWire(const wire::LeaseReply &From);

void toWire(const std::vector<lease_record> &From,
            google::protobuf::RepeatedPtrField<wire::Holding> &To);
std::vector<lease_record>
fromWire(const google::protobuf::RepeatedPtrField<wire::Holding> &From);

/// Returns a digest that changes when the holdings do.
std::uint64_t digestOf(const std::vector<lease_record> &Holdings);

void toWire(const header_list &From,
            google::protobuf::RepeatedPtrField<wire::Header> &To);
header_list
fromWire(const google::protobuf::RepeatedPtrField<wire::Header> &From);

void toWire(const group_load &From, wire::GroupLoad &To);
group_load fromWire(const wire::GroupLoad &From);

/// The body of a streamed request is left out.
void toWire(const node_request &From, const std::string &Group, time_point Now,
            wire::ForwardHead &To);
node_request fromWire(const wire::ForwardHead &From, time_point Now);

void toWire(const node_answer &From, wire::AnswerHead &To);
node_answer fromWire(const wire::AnswerHead &From);

void toWire(const inherited_attempt &From, time_point Now,
            wire::InheritedAttempt &To);
inherited_attempt fromWire(const wire::InheritedAttempt &From, time_point Now);

void toWire(const stored_answer &From, wire::KeptAnswer &To);
std::shared_ptr<const stored_answer> fromWire(const wire::KeptAnswer &From);

void toWire(const key_entry &From, wire::KeyEntry &To);
key_entry fromWire(const wire::KeyEntry &From);

} // namespace agatedale
