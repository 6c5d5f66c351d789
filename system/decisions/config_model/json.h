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

// Returns a JSON string with quotes. Control characters are omitted.
std::string Quoted(std::string_view text);
// Returns {"error":...}, the body of an error response.
std::string ErrorBody(std::string_view text);

// An object of a document, with its path for messages. The document must outlive it.
class Object {
 public:
  using Fault = std::string;
  Object() = default;
  Object(simdjson::dom::object object, std::string path) : object_(object), path_(std::move(path)) {}

  std::string Name(std::string_view field) const {
    return path_.empty() ? std::string(field) : path_ + "." + std::string(field);
  }
  // A missing or null field is a fault if it is `required`; otherwise `out` is unchanged.
  Fault Get(const char* field, std::string* out, bool required = true) const;
  Fault Get(const char* field, int* out, bool required = true) const;
  Fault Get(const char* field, double* out, bool required = true) const;
  Fault Get(const char* field, bool* out, bool required = true) const;
  Fault Strings(const char* field, std::vector<std::string>* out, bool required = true) const;
  Fault Numbers(const char* field, std::vector<int>* out, bool required = true) const;
  Fault Sub(const char* field, Object* out, bool* present) const;
  Fault Each(const char* field, bool required, const std::function<Fault(const Object&)>& take) const;
  Fault Only(
      std::initializer_list<std::string_view> fields) const;  // returns a fault if there is another field
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
