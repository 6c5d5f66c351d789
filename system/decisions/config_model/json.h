// Reads JSON with simdjson. Faults are returned as values that name the field; errors of the library do not
// leave this module.
#ifndef IVYGW_SYSTEM_CONFIG_MODEL_JSON_H_
#define IVYGW_SYSTEM_CONFIG_MODEL_JSON_H_

#include <simdjson.h>

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace ivygw::config_model {

// Returns `text` as a JSON string in quotes. Control characters are omitted.
std::string Quoted(std::string_view text);
// Returns {"error":...}, the body of an error response.
std::string ErrorBody(std::string_view text);

// An object within a JSON document. Faults name a field by its path from the root of the document. The
// document must outlive the object.
class Object {
 public:
  using Fault = std::string;
  Object() = default;
  Object(simdjson::dom::object object, std::string path) : object_(object), path_(std::move(path)) {}

  std::string Name(std::string_view field) const {
    return path_.empty() ? std::string(field) : path_ + "." + std::string(field);
  }
  // Each reads one field. A missing field is a fault if it is `required`; otherwise `out` is unchanged. Get
  // treats a null field as missing.
  Fault Get(const char* field, std::string* out, bool required = true) const;
  Fault Get(const char* field, int* out, bool required = true) const;
  Fault Get(const char* field, double* out, bool required = true) const;
  Fault Get(const char* field, bool* out, bool required = true) const;
  Fault Strings(const char* field, std::vector<std::string>* out, bool required = true) const;
  Fault Numbers(const char* field, std::vector<int>* out, bool required = true) const;
  Fault Sub(const char* field, Object* out, bool* present) const;
  Fault Each(const char* field, bool required, const std::function<Fault(const Object&)>& take) const;
  // Returns a fault if the object has a field that is not among `fields`.
  Fault Only(std::initializer_list<std::string_view> fields) const;
  std::string Text() const { return simdjson::minify(object_); }

 private:
  template <typename T, typename Out>
  Fault Read(const char* field, Out* out, bool required, const char* kind) const;
  simdjson::dom::object object_;
  std::string path_;
};

class Document {
 public:
  std::string Read(const std::string& json, Object* root);

 private:
  simdjson::dom::parser parser_;
};

}  // namespace ivygw::config_model

#endif  // IVYGW_SYSTEM_CONFIG_MODEL_JSON_H_
