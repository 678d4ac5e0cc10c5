/// \file
/// How long a request may wait for a server.
#pragma once

#include "agatedale/clock.h"

namespace agatedale {

/// Returns the part of \p Spare, the time until a request's aim beyond its
/// expected service time, that must remain when the request is sent. A request
/// that uses all of it for waiting is late whenever its service takes longer
/// than expected, and takes the server from one that would be on time.
duration admissionReserve(duration Spare, duration ServiceTime);

} // namespace agatedale
