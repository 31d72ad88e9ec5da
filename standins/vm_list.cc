#include "vm_list.h"

#include <Poco/JSON/Array.h>

namespace standins {
namespace {

constexpr int kOk = 200;

}  // namespace

void VmList::Serve(const Request&                 request,
                   Poco::Net::HTTPServerResponse& response) {
  if (request.method == "GET") return List(response);
  const std::string prefix = "/vms/";
  const std::string vm = request.path.substr(prefix.size());
  {
    const std::lock_guard lock(m_mutex);
    Vms vms = m_versions.empty() ? Vms{} : m_versions.back().vms;
    if (request.method == "DELETE") {
      vms.erase(vm);
    } else {
      vms[vm] = {request.body->optValue<std::string>("address", ""),
                 request.body->optValue<bool>("leaving", false)};
    }
    m_versions.push_back({Clock::now(), std::move(vms)});
  }
  SendStatus(response, kOk);
}

void VmList::List(Poco::Net::HTTPServerResponse& response) {
  Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
  {
    const std::lock_guard lock(m_mutex);
    const auto            as_of = Clock::now() - m_lag;
    const Version*        shown = nullptr;
    for (const auto& version : m_versions) {
      if (version.at <= as_of) shown = &version;
    }
    if (shown != nullptr) {
      for (const auto& [vm, entry] : shown->vms) {
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
        item->set("vm", vm);
        item->set("address", entry.address);
        item->set("leaving", entry.leaving);
        list->add(item);
      }
    }
  }
  Poco::JSON::Object json;
  json.set("vms", list);
  SendJson(response, kOk, json);
}

}  // namespace standins
