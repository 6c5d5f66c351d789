// One work as it stands in the shared engine: who has it, what was meant to be sent, what came of it. Pure.
#ifndef IVYGW_LEDGER_RECORD_H_
#define IVYGW_LEDGER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ivygw::ledger {

enum class Effect { kSafe, kKeyed, kUnsafe };

// An attempt that was made durable before its first byte. Until it is known not to have run, it may have.
struct Intent {
  std::string backend;
  int zone = 0, cell = 0;
  double age_s = 0;  // when the record was written; the engine's clock adds what has gone by since
  bool not_run = false;
};

enum class Standing {
  kOpen,  // its owner goes on with it
  kFree,  // nobody does: who asks next takes it on, by what was tried
  kDone,  // answered for good
};

struct Record {
  Standing standing = Standing::kOpen;
  std::string owner, boot;  // the gateway's name, and its start
  uint64_t fence = 0;
  uint64_t claims = 0;   // takings over so far
  std::string body;      // hash of what the client sent: the same key with another body is another work
  bool charged = false;  // its units are counted
  double left_s = 0;     // until its client's time is up, when the record was written
  double lease_s = 0;    // that it was written with
  std::vector<Intent> intents;
  // kDone:
  int status = 0;
  std::string type, answer;  // of the content
  bool too_long = false;     // the answer was not kept

  bool MayHaveRun() const {
    for (const Intent& i : intents) {
      if (!i.not_run) return true;
    }
    return false;
  }
};

inline constexpr int kForm = 1;
inline constexpr size_t kMostIntents = 16;
std::string Write(const Record& record);
// What is decided on, without times.
std::string Outline(const Record& record);
// None for what is no record of this form; the work is then treated as one that may have run, and is
// nobody's.
std::optional<Record> Read(const std::string& text);

// A work's name in the engine: `customer`, the class's name and the client's key, hashed to 128 bits. The
// engine's keys are short and tell nothing of a customer.
std::string NameOf(uint64_t customer, const std::string& cls, const std::string& key);
std::string HashOf(const std::string& bytes);

}  // namespace ivygw::ledger

#endif  // IVYGW_LEDGER_RECORD_H_
