// Messages and records survive a round trip through Cap'n Proto and JSON.
#include <capnp/message.h>
#include <criterion/criterion.h>

#include "yuccawick/cli/contract_file.h"
#include "yuccawick/rpc/convert.h"
#include "yuccawick/testing/group.h"

namespace yuccawick::tests {
namespace {

rpc::Envelope RoundTrip(const core::Message& message) {
  const rpc::Envelope envelope{{"a", 1}, {"b", 2}, "127.0.0.1:1", message};
  capnp::MallocMessageBuilder builder;
  auto                        root = builder.initRoot<rpc::wire::Envelope>();
  rpc::Write(envelope, root);
  const auto read = rpc::Read(root.asReader());
  cr_assert(read.has_value());
  return *read;
}

template <std::size_t I = 0>
void RoundTripAll() {
  if constexpr (I < std::variant_size_v<core::Message>) {
    const core::Message message{std::in_place_index<I>};
    cr_assert_eq(RoundTrip(message).message.index(), I);
    RoundTripAll<I + 1>();
  }
}

Test(Codec, EveryMessageType_SurvivesTheWire) { RoundTripAll(); }

Test(Codec, FieldsOfACall_ComeBackByteForByte) {
  core::Call call;
  call.program = {{"vm", 7}, 9};
  call.body = "pão \"quoted\"\n\t«ქართული»";
  call.sequence = 3;
  call.unrepeatable = true;
  call.deadline = -5;
  const auto  read = RoundTrip(core::CallRequest{11, call});
  const auto& back = std::get<core::CallRequest>(read.message);
  cr_assert_eq(back.request, 11);
  cr_assert_eq(back.call.body, call.body);
  cr_assert(back.call.program == call.program);
  cr_assert(back.call.unrepeatable);
  cr_assert_eq(back.call.deadline, -5);
  cr_assert_eq(read.from_address, "127.0.0.1:1");
}

template <std::size_t I = 0>
void RecordRoundTripAll() {
  if constexpr (I < std::variant_size_v<core::Record>) {
    const core::Record record{std::in_place_index<I>};
    const auto         read = rpc::RecordFromJson(rpc::ToJson(record));
    cr_assert(read.has_value());
    cr_assert_eq(read->index(), I);
    RecordRoundTripAll<I + 1>();
  }
}

Test(Codec, EveryRecordType_SurvivesTheLogsJson) { RecordRoundTripAll(); }

Test(Codec, BadRecords_AreTypedErrors) {
  for (const auto* text : {"", "{", "[]", "{\"unknown\": {}}", "null",
                           R"({"grant": {"resource": 99}})"})
    cr_assert_not(rpc::RecordFromJson(text).has_value(), "%s", text);
}

Test(Codec, ReasonOutOfRange_IsATypedError) {
  capnp::MallocMessageBuilder builder;
  auto                        root = builder.initRoot<rpc::wire::Envelope>();
  root.initMessage().initCallReply().initFailure().setReason(999);
  cr_assert_not(rpc::Read(root.asReader()).has_value());
}

Test(ContractFile, ValidContract_SurvivesFormatting) {
  const auto contract = testing::Group::DefaultContract("sakhli");
  const auto read = cli::ParseContract(cli::FormatContract(contract));
  cr_assert(read.has_value());
  cr_assert(*read == contract);
}

Test(ContractFile, BadFile_ReportsEveryFault) {
  const auto read = cli::ParseContract(
      R"({"customer": 7, "max_programs": "many", "colour": "red",
          "classes": [{"name": "a", "priority": 1}]})");
  cr_assert_not(read.has_value());
  cr_assert_geq(read.error().size(), 8);
  cr_assert(cli::ParseContract("[").error()[0].fault ==
            cli::FileFault::kNotJson);
}

Test(ContractFile, ContradictoryContract_IsInvalid) {
  auto contract = testing::Group::DefaultContract("sakhli");
  contract.total_budget = contract.program_budget - 1;
  contract.classes[0].max_wait = contract.idle_timeout + 1;
  const auto read = cli::ParseContract(cli::FormatContract(contract));
  cr_assert_eq(read.error().size(), 2);
}

}  // namespace
}  // namespace yuccawick::tests
