#include "config_model/json.h"

#include <algorithm>
#include <limits>

namespace ivygw::config_model {

namespace dom = simdjson::dom;
using Fault = Object::Fault;

std::string Quoted(std::string_view text) {
  std::string out = "\"";
  for (char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    if (static_cast<unsigned char>(c) >= 0x20) out += c;
  }
  return out += '"';
}
std::string ErrorBody(std::string_view text) { return "{\"error\":" + Quoted(text) + "}"; }

template <typename T, typename Out>
Fault Object::Read(const char* field, Out* out, bool required, const char* kind) const {
  dom::element element;
  simdjson::error_code error = object_.at_key(field).get(element);
  if (error == simdjson::NO_SUCH_FIELD || (!error && element.is_null())) {
    return required ? Name(field) + ": missing" : Fault();
  }
  T value{};
  if (error || element.get(value)) return Name(field) + ": " + kind + " is wanted";
  if constexpr (std::is_same_v<Out, int>) {
    if (value < std::numeric_limits<int>::min() || value > std::numeric_limits<int>::max()) {
      return Name(field) + ": is too large";
    }
  }
  *out = static_cast<Out>(value);
  return {};
}

Fault Object::Get(const char* field, std::string* out, bool required) const {
  return Read<std::string_view>(field, out, required, "a text");
}
Fault Object::Get(const char* field, int* out, bool required) const {
  return Read<int64_t>(field, out, required, "a whole number");
}
Fault Object::Get(const char* field, double* out, bool required) const {
  return Read<double>(field, out, required, "a number");
}
Fault Object::Get(const char* field, bool* out, bool required) const {
  return Read<bool>(field, out, required, "true or false");
}

Fault Object::Strings(const char* field, std::vector<std::string>* out, bool required) const {
  dom::array list;
  simdjson::error_code error = object_.at_key(field).get(list);
  if (error == simdjson::NO_SUCH_FIELD) return required ? Name(field) + ": missing" : Fault();
  if (error) return Name(field) + ": a list of texts is wanted";
  for (dom::element element : list) {
    std::string_view text;
    if (element.get(text)) return Name(field) + ": a list of texts is wanted";
    out->emplace_back(text);
  }
  return {};
}

Fault Object::Numbers(const char* field, std::vector<int>* out, bool required) const {
  dom::array list;
  simdjson::error_code error = object_.at_key(field).get(list);
  if (error == simdjson::NO_SUCH_FIELD) return required ? Name(field) + ": missing" : Fault();
  if (error) return Name(field) + ": a list of numbers is wanted";
  for (dom::element element : list) {
    int64_t number = 0;
    if (element.get(number) || number < 0 || number > std::numeric_limits<int>::max()) {
      return Name(field) + ": a list of numbers is wanted";
    }
    out->push_back(static_cast<int>(number));
  }
  return {};
}

Fault Object::Sub(const char* field, Object* out, bool* present) const {
  dom::object object;
  simdjson::error_code error = object_.at_key(field).get(object);
  *present = error != simdjson::NO_SUCH_FIELD;
  if (!*present) return {};
  if (error) return Name(field) + ": an object is wanted";
  *out = Object(object, Name(field));
  return {};
}

Fault Object::Each(const char* field, bool required, const std::function<Fault(const Object&)>& take) const {
  dom::array list;
  simdjson::error_code error = object_.at_key(field).get(list);
  if (error == simdjson::NO_SUCH_FIELD) return required ? Name(field) + ": missing" : Fault();
  if (error) return Name(field) + ": a list is wanted";
  size_t n = 0;
  for (dom::element element : list) {
    dom::object object;
    std::string place = Name(field) + "[" + std::to_string(n++) + "]";
    if (element.get(object)) return place + ": an object is wanted";
    if (Fault fault = take(Object(object, place)); !fault.empty()) return fault;
  }
  return {};
}

Fault Object::Only(std::initializer_list<std::string_view> fields) const {
  for (auto pair : object_) {
    if (std::find(fields.begin(), fields.end(), pair.key) == fields.end())
      return Name(pair.key) + ": is not known";
  }
  return {};
}

std::string Document::Read(const std::string& json, Object* root) {
  dom::object object;
  dom::element element;
  if (simdjson::error_code error = parser_.parse(json).get(element)) {
    return std::string("is no JSON: ") + simdjson::error_message(error);
  }
  if (element.get(object)) return "an object is wanted";
  *root = Object(object, "");
  return {};
}

}  // namespace ivygw::config_model
