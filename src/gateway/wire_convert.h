/// \file
/// Conversion between gateway messages and the project's types.
#pragma once

#include "agatedale/store_mirror.h"
#include "forward.h"

#include "gateway.pb.h"

#include <span>

namespace agatedale {

agatedale::gateway::Forward toMessage(const forward_request &Request,
                                      time_point Now);
result<forward_request> fromMessage(const agatedale::gateway::Forward &Message,
                                    time_point Now);

agatedale::gateway::Forwarded toMessage(const forward_response &Answer);
forward_response fromMessage(const agatedale::gateway::Forwarded &Message);

agatedale::gateway::TableNews toMessage(const table_update &Update,
                                        time_point Now);
void addRows(std::span<const stored_row> Rows,
             agatedale::gateway::TableNews &Message);
result<table_update> fromMessage(const agatedale::gateway::TableNews &Message,
                                 time_point Now);

} // namespace agatedale
