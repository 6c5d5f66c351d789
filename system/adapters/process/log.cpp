#include "process/log.h"

#include <glog/logging.h>

#include <chrono>
#include <cstdio>

#include "config_model/json.h"

namespace ivygw::process {
namespace {

std::string* Node() {
  static std::string node;
  return &node;
}

}  // namespace

void StartLog(const char* program, const std::string& node) {
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  FLAGS_logbufsecs = 0;
  google::InitGoogleLogging(program);
  *Node() = node;
}

Log::Log(std::string_view event) {
  auto now = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  char at[40];
  std::snprintf(at, sizeof(at), "{\"at\":%.3f,\"event\":", now);
  line_ = at;
  line_ += config_model::Quoted(event);
  if (!Node()->empty()) Add("node", *Node());
}

Log::~Log() { LOG(INFO) << line_ << '}'; }

Log& Log::Add(std::string_view name, std::string_view text) {
  line_ += ',';
  line_ += config_model::Quoted(name);
  line_ += ':';
  line_ += config_model::Quoted(text);
  return *this;
}

Log& Log::Add(std::string_view name, double number) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.10g", number);
  line_ += ',';
  line_ += config_model::Quoted(name);
  line_.append(":").append(text);
  return *this;
}

}  // namespace ivygw::process
