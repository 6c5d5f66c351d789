#include "simwire/wire.h"

#include <cmath>
#include <cstring>
#include <utility>

namespace micadock {
namespace {

static_assert(sizeof(float) == 4 && sizeof(double) == 8);

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <typename T>
  T Get(const char* what) {
    if (bytes_.size() - at_ < sizeof(T)) {
      throw WireError(std::string("frame ends inside ") + what);
    }
    T value;
    std::memcpy(&value, bytes_.data() + at_, sizeof(T));
    at_ += sizeof(T);
    return value;
  }

  std::string_view Bytes(size_t n, const char* what) {
    if (bytes_.size() - at_ < n) {
      throw WireError(std::string("frame ends inside ") + what);
    }
    std::string_view part = bytes_.substr(at_, n);
    at_ += n;
    return part;
  }

  std::vector<float> Load() {
    size_t n = Get<uint8_t>("load report length");
    std::vector<float> load;
    load.reserve(n);
    for (size_t i = 0; i < n; ++i) load.push_back(Get<float>("load report"));
    return load;
  }

  size_t left() const { return bytes_.size() - at_; }

 private:
  std::string_view bytes_;
  size_t at_ = 0;
};

Result ToResult(uint8_t code) {
  switch (code) {
    case 0: return Result::kOk;
    case 255: return Result::kError;
    case 254: return Result::kFull;
    case 253: return Result::kTimeout;
    case 252: return Result::kConnectFailed;
    case 251: return Result::kReset;
    case 250: return Result::kCancelled;
    case 249: return Result::kNeverSent;
    default: throw WireError("unknown outcome code " + std::to_string(code));
  }
}

Backend ReadEntry(Reader* in) {
  Backend b;
  b.kind = in->Get<uint8_t>("entry kind");
  uint8_t mode = in->Get<uint8_t>("entry mode");
  if (mode > 2) throw WireError("unknown backend mode " + std::to_string(mode));
  b.state = mode == 1 ? BackendState::kReady : mode == 2 ? BackendState::kDraining : BackendState::kGone;
  b.zone = in->Get<uint16_t>("entry zone");
  b.id = in->Get<uint32_t>("entry backend");
  b.cell = in->Get<uint16_t>("entry cell");
  b.weight = in->Get<float>("entry weight");
  b.started_s = in->Get<double>("entry start time");
  return b;
}

// NOLINTNEXTLINE(readability-function-size): to be split with its package, as docs/ROADMAP.md lists.
WireEvent ReadEvent(Reader* in) {
  uint16_t code = in->Get<uint16_t>("event code");
  WireEvent event;
  if (code == 1110) {
    WireTable table;
    table.bank = in->Get<uint8_t>("table number");
    if (table.bank > 15) throw WireError("table number " + std::to_string(table.bank) + " is above 15");
    uint32_t n = in->Get<uint32_t>("table length");
    if (n > in->left() / 22) throw WireError("table holds fewer entries than it says");
    table.entries.reserve(n);
    for (uint32_t i = 0; i < n; ++i) table.entries.push_back(ReadEntry(in));
    event.body = std::move(table);
    return event;
  }
  if (code < 1000 || code > 1100 || code % 10 != 0) {
    throw WireError("unknown event code " + std::to_string(code));
  }
  event.instance = in->Get<uint32_t>("instance");
  switch (code) {
    case 1000: {
      WireUp up;
      up.seed = in->Get<uint64_t>("seed");
      uint32_t n = in->Get<uint32_t>("settings length");
      up.settings = std::string(in->Bytes(n, "settings"));
      event.body = std::move(up);
      break;
    }
    case 1010: {
      WireView view;
      uint8_t scope = in->Get<uint8_t>("view scope");
      if (scope > 3) throw WireError("unknown view scope " + std::to_string(scope));
      view.kind = static_cast<ListKind>(scope);
      view.version = in->Get<uint64_t>("view version");
      view.bank = in->Get<uint8_t>("view table number");
      event.body = view;
      break;
    }
    case 1020: {
      Request r;
      r.id = in->Get<uint32_t>("request id");
      r.cls = in->Get<uint8_t>("request class");
      r.plan = in->Get<uint16_t>("request plan");
      r.customer = in->Get<uint64_t>("request customer");
      r.left_s = in->Get<double>("request time left");
      r.units = in->Get<float>("request units");
      r.entries = in->Get<float>("request entries");
      in->Get<float>("request first gateway");
      in->Get<uint16_t>("request attributes");
      event.body = r;
      break;
    }
    case 1030: {
      WireBegun begun;
      begun.request = in->Get<uint32_t>("request id");
      in->Get<uint8_t>("attempt");
      in->Get<uint32_t>("backend");
      in->Get<double>("time taken");
      event.body = begun;
      break;
    }
    case 1040: {
      Outcome o;
      o.request = in->Get<uint32_t>("request id");
      in->Get<uint16_t>("fleet use");
      o.attempt = in->Get<uint8_t>("attempt");
      o.took_s = in->Get<double>("time taken");
      o.result = ToResult(in->Get<uint8_t>("outcome"));
      o.finished = in->Get<uint8_t>("done flag") != 0;
      o.backend = in->Get<uint32_t>("backend");
      o.true_units = in->Get<uint16_t>("true units");
      in->Load();
      event.body = o;
      break;
    }
    case 1050: event.body = WireAbandoned{in->Get<uint32_t>("request id")}; break;
    case 1060: event.body = WireTick{in->Get<uint64_t>("timer tag")}; break;
    case 1070: {
      WireProbed p;
      p.took_s = in->Get<double>("time taken");
      p.result = ToResult(in->Get<uint8_t>("probe result"));
      p.backend = in->Get<uint32_t>("backend");
      p.load = in->Load();
      event.body = std::move(p);
      break;
    }
    case 1080: {
      WireMessage m;
      m.sender = in->Get<uint16_t>("sender");
      uint16_t n = in->Get<uint16_t>("message length");
      m.bytes = std::string(in->Bytes(n, "message"));
      event.body = std::move(m);
      break;
    }
    case 1090: event.body = WireExit{}; break;
    case 1100: {
      CountAnswer c;
      in->Get<double>("time taken");
      c.total = in->Get<float>("count total");
      c.result = ToResult(in->Get<uint8_t>("count result"));
      c.name = in->Get<uint64_t>("count name");
      event.body = c;
      break;
    }
    default: throw WireError("unknown event code " + std::to_string(code));
  }
  return event;
}

template <typename T>
void Put(std::string* out, T value) {
  char raw[sizeof(T)];
  std::memcpy(raw, &value, sizeof(T));
  out->append(raw, sizeof(T));
}

void PutText(std::string* out, uint16_t code, uint32_t instance, std::string_view text) {
  text = text.substr(0, 65535);
  Put<uint16_t>(out, code);
  Put<uint32_t>(out, instance);
  Put<uint16_t>(out, static_cast<uint16_t>(text.size()));
  out->append(text);
}

}  // namespace

WireBatch ParseBatch(std::string_view frame) {
  Reader in(frame);
  uint32_t size = in.Get<uint32_t>("frame length");
  if (size != frame.size()) throw WireError("frame length does not match its bytes");
  WireBatch batch;
  batch.now = in.Get<double>("clock");
  if (!std::isfinite(batch.now)) throw WireError("clock is not a number");
  uint32_t records = in.Get<uint32_t>("record count");
  if (records > in.left() / 6) throw WireError("frame holds fewer records than it says");
  batch.events.reserve(records);
  for (uint32_t i = 0; i < records; ++i) batch.events.push_back(ReadEvent(&in));
  if (in.left() != 0) throw WireError("frame has bytes after its last record");
  return batch;
}

ReplyWriter::ReplyWriter() { Reset(); }

void ReplyWriter::Reset() { bytes_.assign(4, '\0'); }

const std::string& ReplyWriter::Finish() {
  uint32_t size = static_cast<uint32_t>(bytes_.size());
  std::memcpy(bytes_.data(), &size, sizeof(size));
  return bytes_;
}

void ReplyWriter::AppendBroken(uint32_t instance, std::string_view text) {
  PutText(&bytes_, 1120, instance, text);
}

void ReplyWriter::Append(uint32_t instance, const Action& a) {
  auto head = [&](uint16_t code) {
    Put<uint16_t>(&bytes_, code);
    Put<uint32_t>(&bytes_, instance);
  };
  switch (a.kind) {
    case ActionKind::kSend:
      head(1050);
      Put<uint32_t>(&bytes_, a.request);
      Put<uint32_t>(&bytes_, a.backend);
      Put<double>(&bytes_, a.seconds);
      break;
    case ActionKind::kCancel:
      head(1060);
      Put<uint32_t>(&bytes_, a.request);
      Put<uint8_t>(&bytes_, static_cast<uint8_t>(a.attempt));
      break;
    case ActionKind::kRefuse:
      head(1070);
      Put<uint32_t>(&bytes_, a.request);
      Put<double>(&bytes_, a.seconds);
      break;
    case ActionKind::kFail:
      head(1000);
      Put<uint32_t>(&bytes_, a.request);
      break;
    case ActionKind::kTimer:
      head(1030);
      Put<double>(&bytes_, a.seconds);
      Put<uint64_t>(&bytes_, a.tag);
      break;
    case ActionKind::kCount:
      head(1100);
      Put<uint64_t>(&bytes_, a.tag);
      Put<float>(&bytes_, static_cast<float>(a.amount));
      Put<double>(&bytes_, a.seconds);
      break;
    case ActionKind::kSubscribe:
      head(1040);
      Put<uint8_t>(&bytes_, 1);
      break;
    case ActionKind::kLog: PutText(&bytes_, 1020, instance, a.text); break;
  }
}

}  // namespace micadock
