#include "yuccawick/cli/contract_file.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <array>
#include <sstream>

namespace yuccawick::cli {
namespace {

using Poco::JSON::Object;

constexpr std::int64_t                    kMsPerSecond = 1000;
constexpr std::array<std::string_view, 5> kFaultNames{
    "not_json", "unknown_key", "missing_key", "wrong_type", "invalid"};

// A numeric key of the file, the member it sets, and the factor from the file's
// unit to the member's.
struct NumberKey {
  const char*  key;
  std::int64_t core::Contract::*member;
  std::int64_t                  unit;
};
constexpr std::array<NumberKey, 7> kNumbers{{
    {"max_programs", &core::Contract::max_programs, 1},
    {"max_turns", &core::Contract::max_turns, 1},
    {"program_budget_tokens", &core::Contract::program_budget, 1},
    {"total_budget_tokens", &core::Contract::total_budget, 1},
    {"period_s", &core::Contract::period, kMsPerSecond},
    {"idle_timeout_s", &core::Contract::idle_timeout, kMsPerSecond},
    {"cache_weight", &core::Contract::cache_weight, 1},
}};
constexpr const char*              kCustomer = "customer";
constexpr const char*              kClasses = "classes";

struct ClassNumberKey {
  const char*  key;
  std::int64_t core::ServiceClass::*member;
};
constexpr std::array<ClassNumberKey, 2> kClassNumbers{{
    {"priority", &core::ServiceClass::priority},
    {"max_wait_ms", &core::ServiceClass::max_wait},
}};
constexpr const char*                   kClassName = "name";

using Errors = std::vector<FileError>;

void ReadNumber(const Object& json, const char* key, std::int64_t unit,
                std::int64_t* value, Errors* errors) {
  if (!json.has(key)) {
    errors->push_back({FileFault::kMissingKey, key, ""});
    return;
  }
  const auto found = json.get(key);
  if (!found.isInteger()) {
    errors->push_back({FileFault::kWrongType, key, "want a whole number"});
    return;
  }
  *value = found.convert<std::int64_t>() * unit;
}

void ReadString(const Object& json, const char* key, std::string* value,
                Errors* errors) {
  if (!json.has(key)) {
    errors->push_back({FileFault::kMissingKey, key, ""});
    return;
  }
  const auto found = json.get(key);
  if (!found.isString()) {
    errors->push_back({FileFault::kWrongType, key, "want a string"});
    return;
  }
  *value = found.convert<std::string>();
}

template <class Known>
void CheckKeys(const Object& json, Known known, Errors* errors) {
  for (const auto& key : json.getNames()) {
    if (!known(key)) errors->push_back({FileFault::kUnknownKey, key, ""});
  }
}

bool IsContractKey(const std::string& key) {
  if (key == kCustomer || key == kClasses) return true;
  for (const auto& number : kNumbers) {
    if (key == number.key) return true;
  }
  return false;
}

bool IsClassKey(const std::string& key) {
  if (key == kClassName) return true;
  for (const auto& number : kClassNumbers) {
    if (key == number.key) return true;
  }
  return false;
}

void ReadClasses(const Object& json, core::Contract* contract, Errors* errors) {
  if (!json.isArray(kClasses)) {
    errors->push_back({FileFault::kMissingKey, kClasses, "want a list"});
    return;
  }
  const auto classes = json.getArray(kClasses);
  for (unsigned i = 0; i < classes->size(); ++i) {
    if (!classes->isObject(i)) {
      errors->push_back({FileFault::kWrongType, kClasses, "want objects"});
      continue;
    }
    const auto         item = classes->getObject(i);
    core::ServiceClass service;
    CheckKeys(*item, IsClassKey, errors);
    ReadString(*item, kClassName, &service.name, errors);
    for (const auto& number : kClassNumbers)
      ReadNumber(*item, number.key, 1, &(service.*number.member), errors);
    contract->classes.push_back(service);
  }
}

}  // namespace

std::string_view Name(FileFault fault) {
  return kFaultNames[static_cast<std::size_t>(fault)];
}

ContractResult ParseContract(const std::string& text) {
  Errors      errors;
  Object::Ptr json;
  try {
    Poco::JSON::Parser parser;
    json = parser.parse(text).extract<Object::Ptr>();
  } catch (const Poco::Exception& error) {
    errors.push_back({FileFault::kNotJson, "", error.displayText()});
    return tl::make_unexpected(errors);
  }
  core::Contract contract;
  CheckKeys(*json, IsContractKey, &errors);
  ReadString(*json, kCustomer, &contract.customer, &errors);
  for (const auto& number : kNumbers) {
    ReadNumber(*json, number.key, number.unit, &(contract.*number.member),
               &errors);
  }
  ReadClasses(*json, &contract, &errors);
  if (!errors.empty()) return tl::make_unexpected(errors);
  for (const auto fault : core::Validate(contract)) {
    errors.push_back({FileFault::kInvalid, "", std::string(core::Name(fault))});
  }
  if (!errors.empty()) return tl::make_unexpected(errors);
  return contract;
}

std::string FormatContract(const core::Contract& contract) {
  Object json(Poco::JSON_PRESERVE_KEY_ORDER);
  json.set(kCustomer, contract.customer);
  for (const auto& number : kNumbers)
    json.set(number.key, contract.*number.member / number.unit);
  Poco::JSON::Array::Ptr classes = new Poco::JSON::Array;
  for (const auto& service : contract.classes) {
    Object::Ptr item = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    item->set(kClassName, service.name);
    for (const auto& number : kClassNumbers)
      item->set(number.key, service.*number.member);
    classes->add(item);
  }
  json.set(kClasses, classes);
  std::ostringstream out;
  json.stringify(out, 2);
  return out.str();
}

}  // namespace yuccawick::cli
