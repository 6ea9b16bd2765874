#include "connection/http/completion_body.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>

namespace berylbarrow {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxDepth = 64;  // usual completion requests nest less than 8 levels
constexpr std::size_t kPrefixBytes = 256;

// Receives the events of the parser. The names of the functions are those the library calls.
// NOLINTBEGIN(readability-identifier-naming)
class field_reader final : public json::json_sax_t {
 public:
  explicit field_reader(completion_fields& fields) : fields_(fields) {}

  bool null() override { return Other(); }
  bool boolean(bool) override { return Other(); }
  bool number_integer(number_integer_t) override { return Other(); }
  bool number_unsigned(number_unsigned_t) override { return Other(); }
  bool number_float(number_float_t, const string_t&) override { return Other(); }
  bool binary(binary_t&) override { return Other(); }

  bool string(string_t& value) override {
    if (depth_ == 0) {
      return Fail("the body must be a JSON object");
    }
    if (depth_ > 1) {
      return true;
    }
    if (key_ == "model") {
      fields_.model = value;
    } else if (key_ == "prompt" && !value.empty()) {
      fields_.prefix_hash = XXH64(value.data(), std::min(value.size(), kPrefixBytes), 0);
    }
    return true;
  }

  bool start_object(std::size_t) override { return Other() && Enter(); }
  bool start_array(std::size_t) override { return OtherIn(0) && Other() && Enter(); }
  bool end_object() override { return Leave(); }
  bool end_array() override { return Leave(); }

  bool key(string_t& name) override {
    if (depth_ != 1) {
      return true;
    }
    key_ = name;
    if ((key_ == "model" && std::exchange(has_model_, true)) ||
        (key_ == "prompt" && std::exchange(has_prompt_, true))) {
      return Fail("field \"" + key_ + "\" occurs twice");
    }
    return true;
  }

  bool parse_error(std::size_t position, const std::string&,
                   const nlohmann::detail::exception&) override {
    return Fail("the body is not valid JSON at byte " + std::to_string(position));
  }

 private:
  bool Fail(std::string message) {
    fields_.error = std::move(message);
    return false;
  }

  bool OtherIn(std::size_t depth) {
    return depth_ != depth || Fail("the body must be a JSON object");
  }

  // A value that is not a string.
  bool Other() {
    if (depth_ == 1 && (key_ == "model" || key_ == "prompt")) {
      return Fail("field \"" + key_ + "\" must be a string");
    }
    return true;
  }

  bool Enter() { return ++depth_ <= kMaxDepth || Fail("the body nests deeper than 64 levels"); }

  bool Leave() {
    --depth_;
    return true;
  }

  completion_fields& fields_;
  std::size_t depth_ = 0;
  std::string key_;
  bool has_model_ = false;
  bool has_prompt_ = false;
};
// NOLINTEND(readability-identifier-naming)

}  // namespace

completion_fields ReadCompletionBody(const std::string& body) {
  completion_fields fields;
  field_reader reader(fields);
  json::sax_parse(body, &reader);
  if (fields.error.empty() && fields.model.empty()) {
    fields.error = "field \"model\" is missing or empty";
  }
  return fields;
}

}  // namespace berylbarrow
