// What a gateway's module has learned of the backends, written now and then by the process that serves and
// read once by the one that takes its place. It is advice: what is missing, old or damaged only means
// learning it anew.
#ifndef IVYGW_STATE_LEARNED_FILE_H_
#define IVYGW_STATE_LEARNED_FILE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "policy/balance.h"
#include "state/files.h"

namespace ivygw::state {

inline constexpr double kLearnedOldS = 5;  // after which it is of no use: loads have changed

// `at_s` is when it was learned, on the clock of all gateways. Backends go by their names; one that `name_of`
// has no name for is left out.
std::string FormatLearned(const micadock::LearnedState& learned, double at_s, const std::string& gateway,
                          const std::function<std::string(uint32_t)>& name_of);
// Nothing where it is older than kLearnedOldS or from the future. Throws StateError naming the field.
std::optional<micadock::LearnedState> ParseLearned(std::string_view text, double now_s,
                                                   const std::string& gateway,
                                                   const std::function<uint32_t(const std::string&)>& id_of);

class LearnedFile {
 public:
  LearnedFile(const std::string& directory, std::string gateway);
  void Write(const micadock::LearnedState& learned, double at_s,
             const std::function<std::string(uint32_t)>& name_of) const;
  std::optional<micadock::LearnedState> Read(double now_s,
                                             const std::function<uint32_t(const std::string&)>& id_of) const;

 private:
  std::string path_, gateway_;
};

}  // namespace ivygw::state

#endif  // IVYGW_STATE_LEARNED_FILE_H_
