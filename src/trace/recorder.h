// Takes down the turns of a core and hands them on in chunks. One thread: the event loop's.
#ifndef IVYGW_TRACE_RECORDER_H_
#define IVYGW_TRACE_RECORDER_H_

#include <string>

#include "core/effects.h"
#include "core/events.h"
#include "trace/codec.h"
#include "trace/segments.h"

namespace ivygw::trace {

class Recorder {
 public:
  explicit Recorder(SegmentWriter* out) : out_(out) {}
  ~Recorder() { Flush(); }

  // `event` null: the core's start. Handed on when there is enough, or when the last was a while ago.
  void Take(double now, const core::Event* event, const core::Effects& effects) {
    std::string told = EncodeEffects(effects, &names_);
    if (event != nullptr && std::holds_alternative<core::RequestArrived>(*event)) {
      core::Event masked = Masked(*event, mask_);
      EncodeTurn(now, &masked, told, &chunk_);
    } else {
      EncodeTurn(now, event, told, &chunk_);
    }
    if (chunk_.size() < kChunk && now < handed_ + kHandOverS) return;
    handed_ = now;
    Flush();
  }
  void Flush() {
    if (!chunk_.empty()) out_->Append(std::move(chunk_));
    chunk_.clear();
  }

 private:
  static constexpr size_t kChunk = 64 << 10;
  static constexpr double kHandOverS = 0.2;

  SegmentWriter* out_;
  const Mask mask_;
  CounterNames names_;
  std::string chunk_;
  double handed_ = 0;
};

}  // namespace ivygw::trace

#endif  // IVYGW_TRACE_RECORDER_H_
