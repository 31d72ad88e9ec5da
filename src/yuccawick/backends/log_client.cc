#include "yuccawick/backends/log_client.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include "yuccawick/rpc/convert.h"

namespace yuccawick::backends {
namespace {

std::string RecordsPath(const std::string& stream) {
  return "/streams/" + stream + "/records";
}

core::LogStatus StatusOf(HttpError error) {
  const bool not_executed =
      error == HttpError::kNotSent || error == HttpError::kRefused;
  return not_executed ? core::LogStatus::kRefused : core::LogStatus::kUnknown;
}

void ReadRecordsInto(const Poco::JSON::Object& body, core::ReadDone* done) {
  done->earliest = body.getValue<core::Offset>("earliest");
  done->end = body.getValue<core::Offset>("end");
  const auto records = body.getArray("records");
  for (std::size_t i = 0; i < records->size(); ++i) {
    const auto item = records->getObject(static_cast<unsigned>(i));
    const auto record =
        rpc::RecordFromJson(item->getValue<std::string>("data"));
    // Unknown records of other writers are skipped; they still occupy offsets.
    if (!record) continue;
    done->records.push_back({item->getValue<core::Offset>("offset"), *record});
  }
}

// POCO converts values of any type to text.
std::string TextField(const Poco::JSON::Object& object,
                      const std::string&        field) {
  const auto value = object.get(field);
  if (!value.isString()) throw Poco::DataFormatException(field);
  return value.extract<std::string>();
}

core::VmEntry ReadVm(const Poco::JSON::Object& object) {
  return {TextField(object, "vm"), TextField(object, "address"),
          object.getValue<bool>("leaving")};
}

}  // namespace

core::AppendDone LogClient::Append(const core::AppendRecords& command) const {
  core::AppendDone       done{command.append, core::LogStatus::kUnknown, -1};
  Poco::JSON::Array::Ptr records = new Poco::JSON::Array;
  for (const auto& record : command.records) records->add(rpc::ToJson(record));
  Poco::JSON::Object body;
  body.set("records", records);
  const auto answer =
      PostJson(m_endpoint, RecordsPath(command.stream), body, m_settings);
  if (!answer) {
    done.status = StatusOf(answer.error());
    return done;
  }
  try {
    done.last_offset = (*answer)->getValue<core::Offset>("last");
    done.status = core::LogStatus::kOk;
  } catch (const Poco::Exception&) {
    done.status = core::LogStatus::kUnknown;
  }
  return done;
}

core::ReadDone LogClient::Read(const core::ReadRecords& command) const {
  core::ReadDone done;
  done.stream = command.stream;
  done.read = command.read;
  const auto path =
      RecordsPath(command.stream) + "?from=" + std::to_string(command.from);
  const auto answer = GetJson(m_endpoint, path, m_settings);
  if (!answer) {
    done.status = StatusOf(answer.error());
    return done;
  }
  try {
    ReadRecordsInto(**answer, &done);
  } catch (const Poco::Exception&) {
    done.records.clear();
    done.status = core::LogStatus::kUnknown;
  }
  return done;
}

tl::expected<core::VmListRead, HttpError> VmListClient::Read() const {
  const auto answer = GetJson(m_endpoint, "/vms", m_settings);
  if (!answer) return tl::make_unexpected(answer.error());
  core::VmListRead list;
  const auto       vms = (*answer)->getArray("vms");
  if (vms.isNull()) return tl::make_unexpected(HttpError::kBadAnswer);
  for (std::size_t i = 0; i < vms->size(); ++i) {
    // Other writers may leave items that name no VM.
    try {
      list.vms.push_back(ReadVm(*vms->getObject(static_cast<unsigned>(i))));
    } catch (const Poco::Exception&) {
      ++list.unreadable;
    }
  }
  return list;
}

}  // namespace yuccawick::backends
