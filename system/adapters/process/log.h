// Logs. One JSON object a line on standard error, through glog.
#ifndef IVYGW_SYSTEM_PROCESS_LOG_H_
#define IVYGW_SYSTEM_PROCESS_LOG_H_

#include <concepts>
#include <string>
#include <string_view>

namespace ivygw::process {

void StartLog(const char* program, const std::string& node);

// Log("pushed").Add("items", 3): the line goes out at the statement's end.
class Log {
 public:
  explicit Log(std::string_view event);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;
  Log& Add(std::string_view name, std::string_view text);
  Log& Add(std::string_view name, const char* text) { return Add(name, std::string_view(text)); }
  Log& Add(std::string_view name, double number);
  template <std::integral T>
  Log& Add(std::string_view name, T number) {
    return Add(name, static_cast<double>(number));
  }

 private:
  std::string line_;
};

}  // namespace ivygw::process

#endif  // IVYGW_SYSTEM_PROCESS_LOG_H_
