// Reading JSON. Simdjson with faults that name the field, as values. The library's errors stay inside.
#ifndef IVYGW_SYSTEM_CONFIG_MODEL_JSON_H_
#define IVYGW_SYSTEM_CONFIG_MODEL_JSON_H_

#include <simdjson.h>

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace ivygw::config_model {

// As a JSON text, quotes included; control characters are left out.
std::string Quoted(std::string_view text);
// {"error":...}, the body of a refusal.
std::string ErrorBody(std::string_view text);

// An object of a document, which outlives it, with its place in it for messages.
class Object {
 public:
  using Fault = std::string;
  Object() = default;
  Object(simdjson::dom::object object, std::string place) : object_(object), place_(std::move(place)) {}

  std::string Name(std::string_view field) const {
    return place_.empty() ? std::string(field) : place_ + "." + std::string(field);
  }
  // A field that is missing is a fault where it is `wanted`; otherwise `out` stays as it is. So is one of
  // null.
  Fault Get(const char* field, std::string* out, bool wanted = true) const;
  Fault Get(const char* field, int* out, bool wanted = true) const;
  Fault Get(const char* field, double* out, bool wanted = true) const;
  Fault Get(const char* field, bool* out, bool wanted = true) const;
  Fault Strings(const char* field, std::vector<std::string>* out, bool wanted = true) const;
  Fault Numbers(const char* field, std::vector<int>* out, bool wanted = true) const;
  Fault Sub(const char* field, Object* out, bool* there) const;
  Fault Each(const char* field, bool wanted, const std::function<Fault(const Object&)>& take) const;
  Fault Only(std::initializer_list<std::string_view> fields) const;  // no other field is there
  std::string Text() const { return simdjson::minify(object_); }

 private:
  template <typename T, typename Out>
  Fault Read(const char* field, Out* out, bool wanted, const char* kind) const;
  simdjson::dom::object object_;
  std::string place_;
};

class Document {
 public:
  std::string Read(const std::string& json, Object* root);

 private:
  simdjson::dom::parser parser_;
};

}  // namespace ivygw::config_model

#endif  // IVYGW_SYSTEM_CONFIG_MODEL_JSON_H_
