#include "ctl/context.h"

#include "state/yaml_reader.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <json/writer.h>

namespace lacewing::ctl {

store_access open_store(const global_options& options) {
    if (options.store.empty()) throw command_error(exit_status::bad_input, "--store ip:port is required");
    if (!is_socket_address(options.store)) {
        throw command_error(exit_status::bad_input,
                            fmt::format("--store: '{}' is not an address ip:port", options.store));
    }
    return store_access(options.store);
}

stored_configuration read_configuration(store_access& store) {
    auto object = store.get("config/current");
    if (!object) return {{}, {"config/current", {}, Json::Value(Json::objectValue)}};
    auto config = parse_configuration(compact_json(object->value),
                                      fmt::format("config/current@{}", object->revision.value));
    return {std::move(config), std::move(*object)};
}

config_text read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw command_error(exit_status::bad_input, fmt::format("{}:0: cannot be read", path));
    return {path, {std::istreambuf_iterator<char>(in), {}}};
}

std::string compact_json(const Json::Value& value) {
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

void print_answer(const global_options& options, const Json::Value& answer, const std::string& text) {
    fmt::print("{}\n", options.json ? compact_json(answer) : text);
}

revision_id write_or_conflict(store_access& store, const std::string& key, const Json::Value& value,
                              revision_id expected) {
    const auto result = store.put(key, value, expected);
    if (!result.written) {
        throw command_error(exit_status::conflict, fmt::format("{}: conflict, revision {} won over {}", key,
                                                               result.revision.value, expected.value));
    }
    return result.revision;
}

void record_history(store_access& store, const audit_record& record) {
    Json::Value value;
    value["revision"] = Json::UInt64(record.revision.value);
    value["key"] = record.key;
    value["requested_by"] = record.requested_by;
    value["decided"] = record.decided;
    value["evidence"] = record.evidence;
    value["at"] = Json::Int64(unix_seconds_now());
    static_cast<void>(store.put(fmt::format("history/{}", record.revision.value), value, {}));
}

} // namespace lacewing::ctl
