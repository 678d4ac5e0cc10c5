/// \file
/// Transitions between the phases of a stop.
#include "agatedale/stop_sequence.h"

#include <algorithm>

namespace agatedale {

stop_sequence stop_sequence::create(time_point Since, duration Grace) {
  return {Since, std::max(Grace - Margin, duration::zero())};
}

bool stop_sequence::isOver(const stop_work &Work, duration Elapsed) const {
  switch (Phase) {
  case stop_phase::Draining:
    return Elapsed >= std::min<duration>(DrainDelay, MaxTime / 2);
  case stop_phase::Closing:
    return Work.isNone() || Elapsed >= MaxTime;
  case stop_phase::Answering:
    return Work.isNone() || Elapsed >= MaxTime + FinalResponseTime;
  case stop_phase::Ended:
    break;
  }
  return false;
}

bool stop_sequence::advance(const stop_work &Work, time_point Now) {
  if (!isOver(Work, Now - Since))
    return false;
  const bool NeedsNoAnswers = Phase == stop_phase::Closing && Work.isNone();
  Phase = NeedsNoAnswers ? stop_phase::Ended
                         : static_cast<stop_phase>(static_cast<int>(Phase) + 1);
  return true;
}

} // namespace agatedale
