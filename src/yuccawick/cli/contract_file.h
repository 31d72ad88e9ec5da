// Contracts as operators write them: a JSON file.
//
// Every key must be known and of the right type, and the whole must be a valid
// contract; all faults are reported at once.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "yuccawick/core/contract.h"

namespace yuccawick::cli {

enum class FileFault : std::uint8_t {
  kNotJson,     // not a JSON object
  kUnknownKey,  // a key that contracts do not have
  kMissingKey,  // a key that every contract has
  kWrongType,   // a value of another type
  kInvalid,     // the contract as a whole; `detail` is a ContractFault
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
