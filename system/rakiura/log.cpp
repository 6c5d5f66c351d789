#include "rakiura/log.h"

#include <glog/logging.h>

#include <chrono>
#include <cstdio>

namespace ivygw::rakiura {
namespace {

std::string* Node() {
  static std::string node;
  return &node;
}

void Quote(std::string_view text, std::string* out) {
  *out += '"';
  for (char c : text) {
    if (c == '"' || c == '\\') {
      *out += '\\';
      *out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char hex[8];
      std::snprintf(hex, sizeof(hex), "\\u%04x", c);
      *out += hex;
    } else {
      *out += c;
    }
  }
  *out += '"';
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
  Quote(event, &line_);
  if (!Node()->empty()) Add("node", *Node());
}

Log::~Log() { LOG(INFO) << line_ << '}'; }

Log& Log::Add(std::string_view name, std::string_view text) {
  line_ += ',';
  Quote(name, &line_);
  line_ += ':';
  Quote(text, &line_);
  return *this;
}

Log& Log::Add(std::string_view name, double number) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.10g", number);
  line_ += ',';
  Quote(name, &line_);
  line_.append(":").append(text);
  return *this;
}

}  // namespace ivygw::rakiura
