// Contract files: JSON files in which operators write customers' contracts.
//
// Parsing requires every key to be known, present and of the right type, and
// the contract as a whole to be valid. It returns all errors at once.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "yuccawick/core/contract.h"

namespace yuccawick::cli {

enum class FileFault : std::uint8_t {
  kNotJson,     // not a JSON object
  kUnknownKey,  // not a key of a contract
  kMissingKey,  // a required key is absent
  kWrongType,   // a value has the wrong type
  kInvalid,     // the contract is not valid; `detail` names the ContractFault
};
std::string_view Name(FileFault fault);

struct FileError {
  FileFault   fault;
  std::string key;
  std::string detail;
};

using ContractResult = tl::expected<core::Contract, std::vector<FileError>>;

ContractResult ParseContract(const std::string& text);
std::string    FormatContract(const core::Contract& contract);

}  // namespace yuccawick::cli
