#include "yuccawick/rpc/convert.h"

#include <capnp/compat/json.h>
#include <capnp/dynamic.h>
#include <capnp/message.h>

#include <cstddef>
#include <type_traits>
#include <utility>
#include <vector>

namespace yuccawick::rpc {
namespace {

template <class T>
constexpr bool kIsVector = false;
template <class T>
constexpr bool kIsVector<std::vector<T>> = true;

// Number of values of each enum in messages and records.
template <class E>
constexpr unsigned kValueCount = 0;
template <>
constexpr unsigned kValueCount<core::Reason> = core::kReasonCount;
template <>
constexpr unsigned kValueCount<core::Ran> = 3;
template <>
constexpr unsigned kValueCount<core::BackendKind> = 2;
template <>
constexpr unsigned kValueCount<core::Resource> = core::kResourceCount;
template <>
constexpr unsigned kValueCount<core::FencedState> = 4;

// Copies a core struct into a Cap'n Proto struct.
class Writer {
 public:
  explicit Writer(capnp::DynamicStruct::Builder builder) : m_builder(builder) {}

  template <class T>
  void operator()(const char* name, T& value) {
    if constexpr (std::is_same_v<T, std::string>) {
      m_builder.set(name, capnp::Text::Reader(value.data(), value.size()));
    } else if constexpr (std::is_enum_v<T>) {
      m_builder.set(name, static_cast<unsigned>(value));
    } else if constexpr (std::is_integral_v<T>) {
      m_builder.set(name, value);
    } else if constexpr (kIsVector<T>) {
      auto list = m_builder.init(name, static_cast<unsigned>(value.size()))
                      .as<capnp::DynamicList>();
      for (unsigned i = 0; i < value.size(); ++i) {
        Writer item(list[i].as<capnp::DynamicStruct>());
        value[i].Visit(item);
      }
    } else {
      Writer inner(m_builder.init(name).as<capnp::DynamicStruct>());
      value.Visit(inner);
    }
  }

 private:
  capnp::DynamicStruct::Builder m_builder;
};

// Copies a Cap'n Proto struct into a core struct.
class Reader {
 public:
  explicit Reader(capnp::DynamicStruct::Reader reader) : m_reader(reader) {}

  template <class T>
  void operator()(const char* name, T& value) {
    const auto field = m_reader.get(name);
    if constexpr (std::is_same_v<T, std::string>) {
      const auto text = field.as<capnp::Text>();
      value.assign(text.begin(), text.size());
    } else if constexpr (std::is_enum_v<T>) {
      static_assert(kValueCount<T> > 0, "add the enum to kValueCount");
      const auto number = field.as<std::uint16_t>();
      // Values index name tables, so reject those out of range.
      if (number >= kValueCount<T>)
        kj::throwFatalException(
            KJ_EXCEPTION(FAILED, "no such value", name, number));
      value = static_cast<T>(number);
    } else if constexpr (std::is_integral_v<T>) {
      value = field.as<T>();
    } else if constexpr (kIsVector<T>) {
      const auto list = field.as<capnp::DynamicList>();
      value.clear();
      for (const auto item : list) {
        Reader inner(item.as<capnp::DynamicStruct>());
        value.emplace_back().Visit(inner);
      }
    } else {
      Reader inner(field.as<capnp::DynamicStruct>());
      value.Visit(inner);
    }
  }

 private:
  capnp::DynamicStruct::Reader m_reader;
};

// In unions, field n corresponds to variant alternative n.
template <class Variant>
void WriteUnion(const Variant& value, capnp::DynamicStruct::Builder builder) {
  const auto field =
      builder.getSchema()
          .getUnionFields()[static_cast<unsigned>(value.index())];
  std::visit(
      [&](auto alternative) {
        Writer writer(builder.init(field).as<capnp::DynamicStruct>());
        alternative.Visit(writer);
      },
      value);
}

template <class Variant, std::size_t I = 0>
bool ReadUnionAt(std::size_t index, capnp::DynamicStruct::Reader inner,
                 Variant* value) {
  if constexpr (I == std::variant_size_v<Variant>) {
    return false;
  } else {
    if (index != I) return ReadUnionAt<Variant, I + 1>(index, inner, value);
    Reader reader(inner);
    value->template emplace<I>().Visit(reader);
    return true;
  }
}

template <class Variant>
bool ReadUnion(capnp::DynamicStruct::Reader reader, Variant* value) {
  KJ_IF_MAYBE (field, reader.which()) {
    const auto fields = reader.getSchema().getUnionFields();
    for (unsigned i = 0; i < fields.size(); ++i) {
      if (fields[i] == *field) {
        return ReadUnionAt(
            i, reader.get(*field).template as<capnp::DynamicStruct>(), value);
      }
    }
  }
  return false;
}

template <class T>
void WriteStruct(T value, capnp::DynamicStruct::Builder builder) {
  Writer writer(builder);
  value.Visit(writer);
}

bool NamesOneKind(capnp::JsonValue::Reader     json,
                  capnp::DynamicStruct::Reader record) {
  if (!json.isObject() || json.getObject().size() != 1) return false;
  const auto name = json.getObject()[0].getName();
  for (const auto field : record.getSchema().getUnionFields()) {
    if (field.getProto().getName() == name) return true;
  }
  return false;
}

}  // namespace

void Write(const Envelope& envelope, wire::Envelope::Builder builder) {
  WriteStruct(envelope.from, capnp::toDynamic(builder.initFrom()));
  WriteStruct(envelope.to, capnp::toDynamic(builder.initTo()));
  builder.setFromAddress(envelope.from_address);
  WriteUnion(envelope.message, capnp::toDynamic(builder.initMessage()));
}

tl::expected<Envelope, CodecError> Read(wire::Envelope::Reader reader) {
  Envelope   envelope;
  bool       read = false;
  // Input from the network is untrusted: decoding errors are returned as a
  // value, so that no exception reaches the control thread.
  const auto failed = kj::runCatchingExceptions([&] {
    Reader from(capnp::toDynamic(reader.getFrom()));
    envelope.from.Visit(from);
    Reader to(capnp::toDynamic(reader.getTo()));
    envelope.to.Visit(to);
    envelope.from_address = reader.getFromAddress().cStr();
    read = ReadUnion(capnp::toDynamic(reader.getMessage()), &envelope.message);
  });
  if (failed != nullptr || !read)
    return tl::make_unexpected(CodecError::kBadMessage);
  return envelope;
}

std::string ToJson(const core::Record& record) {
  capnp::MallocMessageBuilder message;
  auto                        builder = message.initRoot<wire::Record>();
  WriteUnion(record, capnp::toDynamic(builder));
  capnp::JsonCodec codec;
  const auto       text = codec.encode(builder.asReader());
  return {text.begin(), text.size()};
}

tl::expected<core::Record, CodecError> RecordFromJson(const std::string& json) {
  core::Record record;
  bool         read = false;
  const auto   failed = kj::runCatchingExceptions([&] {
    capnp::JsonCodec            codec;
    capnp::MallocMessageBuilder raw_message;
    auto                        raw = raw_message.initRoot<capnp::JsonValue>();
    codec.decodeRaw(kj::ArrayPtr<const char>(json.data(), json.size()), raw);
    capnp::MallocMessageBuilder message;
    auto                        builder = message.initRoot<wire::Record>();
    // For an object without a known kind the codec would create an empty record
    // of the first kind, which readers would apply.
    if (!NamesOneKind(raw.asReader(), capnp::toDynamic(builder.asReader())))
      return;
    codec.decode(raw.asReader(), builder);
    read = ReadUnion(capnp::toDynamic(builder.asReader()), &record);
  });
  if (failed != nullptr || !read)
    return tl::make_unexpected(CodecError::kBadRecord);
  return record;
}

}  // namespace yuccawick::rpc
