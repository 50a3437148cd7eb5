#include "protocol/peer_codec.h"

#include "protocol/jsonrpc_builder.h"
#include "state/error_kind.h"

#include <array>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <limits>
#include <optional>
#include <type_traits>
#include <utility>

namespace lacewing {

namespace {

constexpr std::array member_state_names{"alive", "suspect", "leaving", "dead"};
constexpr std::array attempt_outcome_names{"success", "shed", "failure", "neutral"};
constexpr std::array once_outcome_names{"never_seen_now_refused", "running", "ran", "not_run", "unknown"};

// Methods of the protocol between VMs, in the order of the alternatives of peer_payload.
constexpr std::array<const char*, std::variant_size_v<peer_payload>> method_names{
    "ping",       "ack",        "ping_req",      "member_pull",  "member_table", "events",
    "pull",       "snapshot",   "loan_request",  "loan_grant",   "loan_return",  "home_handover",
    "once_query", "once_reply", "move_evidence", "slot_request", "slot_grant",   "slot_return"};

// The overloads of visit_fields list the fields of each structure once, for encoding and decoding.
template <class Archive>
void visit_fields(Archive& a, peer_id& v) {
    a("vm", v.vm.value);
    a("zone", v.zone.value);
    a("address", v.address);
    a("incarnation", v.incarnation);
}

template <class Archive>
void visit_fields(Archive& a, member_record& v) {
    a("id", v.id);
    a("caller_address", v.caller_address);
    a("state", v.state);
    a("counter", v.counter);
    a("revision", v.revision.value);
}

template <class Archive>
void visit_fields(Archive& a, zone_report& v) {
    a("zone", v.zone.value);
    a("age", v.age.count);
    a("confirmation_age", v.confirmation_age.count);
    a("store_reachable", v.store_reachable);
}

template <class Archive>
void visit_fields(Archive& a, freshness_report& v) {
    a("clock", v.clock.count);
    a("confirmed", v.confirmed_revision.value);
    a("age", v.age.count);
    a("zones", v.zones);
}

template <class Archive>
void visit_fields(Archive& a, probe_payload& v) {
    a("sequence", v.sequence);
    a("revision", v.revision.value);
    a("freshness", v.freshness);
    a("updates", v.updates);
}

template <class Archive>
void visit_fields(Archive& a, ping& v) {
    a("probe", v.probe);
}

template <class Archive>
void visit_fields(Archive& a, ack& v) {
    a("probe", v.probe);
}

template <class Archive>
void visit_fields(Archive& a, ping_request& v) {
    a("sequence", v.sequence);
    a("target", v.target);
    a("updates", v.updates);
}

template <class Archive>
void visit_fields(Archive& a, member_pull& v) {
    a("self", v.self);
}

template <class Archive>
void visit_fields(Archive& a, member_table& v) {
    a("members", v.members);
    a("sample", v.sample);
}

template <class Archive>
void visit_fields(Archive& a, object_event& v) {
    a("key", v.key);
    a("revision", v.revision.value);
    a("value", v.value);
}

template <class Archive>
void visit_fields(Archive& a, object_events& v) {
    a("after", v.after.value);
    a("revision", v.revision.value);
    a("events", v.events);
    a("origin", v.origin);
    a("range_begin", v.range_begin);
    a("range_end", v.range_end);
    a("freshness", v.freshness);
    a("updates", v.updates);
}

template <class Archive>
void visit_fields(Archive& a, object_pull& v) {
    a("after", v.after.value);
}

template <class Archive>
void visit_fields(Archive& a, object_snapshot& v) {
    a("revision", v.revision.value);
    a("part", v.part);
    a("parts", v.parts);
    a("objects", v.objects);
}

template <class Archive>
void visit_fields(Archive& a, budget_amount& v) {
    a("rate", v.rate);
    a("capacity", v.capacity);
    a("tokens", v.tokens);
}

template <class Archive>
void visit_fields(Archive& a, loan_request& v) {
    a("budget", v.budget);
    a("sequence", v.sequence);
    a("wanted", v.wanted);
    a("renews", v.renews);
}

template <class Archive>
void visit_fields(Archive& a, loan_grant& v) {
    a("budget", v.budget);
    a("sequence", v.sequence);
    a("loan", v.loan);
    a("amount", v.amount);
    a("duration", v.duration.count);
}

template <class Archive>
void visit_fields(Archive& a, loan_return& v) {
    a("budget", v.budget);
    a("loan", v.loan);
    a("tokens", v.tokens);
}

template <class Archive>
void visit_fields(Archive& a, home_handover& v) {
    a("request", v.request);
}

template <class Archive>
void visit_fields(Archive& a, once_query& v) {
    a("sequence", v.sequence);
    a("request_id", v.request_id);
}

template <class Archive>
void visit_fields(Archive& a, once_reply& v) {
    a("sequence", v.sequence);
    a("outcome", v.outcome);
}

template <class Archive>
void visit_fields(Archive& a, slot_request& v) {
    a("route", v.route);
    a("sequence", v.sequence);
    a("term", v.term.count);
}

template <class Archive>
void visit_fields(Archive& a, slot_grant& v) {
    a("sequence", v.sequence);
    a("loan", v.loan);
    a("endpoint", v.endpoint);
}

template <class Archive>
void visit_fields(Archive& a, slot_return& v) {
    a("loan", v.loan);
    a("outcome", v.outcome);
    a("latency", v.latency.count);
}

template <class Archive>
void visit_fields(Archive& a, version_counts& v) {
    a("requests", v.requests);
    a("errors", v.errors);
    a("latency", v.latency);
}

template <class Archive>
void visit_fields(Archive& a, move_report& v) {
    a("key", v.key);
    a("in_flight", v.in_flight);
    a("old", v.old_version);
    a("new", v.new_version);
    a("stopped", v.stopped);
}

template <class Archive>
void visit_fields(Archive& a, move_evidence& v) {
    a("revision", v.revision.value);
    a("reports", v.reports);
}

// Records that occur in most messages are encoded as arrays of their fields in order. As objects, their field
// names were a third of the bytes sent by a watcher, a VM that forwards changes of the store to the others.
template <class T>
constexpr bool encoded_as_array =
    std::is_same_v<T, peer_id> || std::is_same_v<T, member_record> || std::is_same_v<T, freshness_report> ||
    std::is_same_v<T, probe_payload> || std::is_same_v<T, zone_report>;

// Encodes the fields that visit_fields passes to it.
class writer {
public:
    explicit writer(Json::ValueType type = Json::objectValue) : json_(type) {}
    template <class T>
    void operator()(const char* name, T& value) {
        if (json_.isArray()) {
            json_.append(to_json(value));
        } else {
            json_[name] = to_json(value);
        }
    }
    Json::Value release() { return std::move(json_); }

private:
    static Json::Value to_json(bool& v) { return v; }
    static Json::Value to_json(std::string& v) { return v; }
    static Json::Value to_json(incarnation_id& v) { return to_hex(v); }
    static Json::Value to_json(member_state& v) { return member_state_names.at(static_cast<std::size_t>(v)); }
    static Json::Value to_json(attempt_outcome& v) {
        return attempt_outcome_names.at(static_cast<std::size_t>(v));
    }
    static Json::Value to_json(once_outcome& v) { return once_outcome_names.at(static_cast<std::size_t>(v)); }
    static Json::Value to_json(std::shared_ptr<const std::string>& v) {
        return v ? Json::Value(*v) : Json::Value(Json::nullValue);
    }
    static Json::Value to_json(latency_counts& v) {
        auto buckets = v.buckets();
        return to_json(buckets);
    }
    template <class T>
    static Json::Value to_json(std::vector<T>& values) {
        Json::Value array(Json::arrayValue);
        for (auto& v : values) {
            array.append(to_json(v));
        }
        return array;
    }
    template <class T>
    static Json::Value to_json(T& v) {
        if constexpr (std::is_integral_v<T>) {
            if constexpr (std::is_signed_v<T>) {
                return Json::Value(static_cast<Json::Int64>(v));
            } else {
                return Json::Value(static_cast<Json::UInt64>(v));
            }
        } else {
            writer nested(encoded_as_array<T> ? Json::arrayValue : Json::objectValue);
            visit_fields(nested, v);
            return nested.release();
        }
    }

    Json::Value json_;
};

[[noreturn]] void reject(const std::string& reason) {
    throw error(error_kind::bad_request, "peer message: " + reason);
}

// Decodes the fields that visit_fields passes to it; a missing field or a wrong type is rejected.
class reader {
public:
    reader(const Json::Value& json, std::string path, Json::ValueType type = Json::objectValue)
        : json_(json), path_(std::move(path)) {
        if (json_.type() != type) {
            reject(path_ + (type == Json::arrayValue ? " is not an array" : " is not an object"));
        }
    }
    template <class T>
    void operator()(const char* name, T& value) {
        const auto path = path_ + "." + name;
        if (json_.isArray() ? position_ >= json_.size() : !json_.isMember(name)) {
            reject("missing field " + path);
        }
        parse(json_.isArray() ? json_[position_] : json_[name], path, value);
        ++position_;
    }
    // Rejects an array with more elements than fields.
    void reject_extra_elements() const {
        if (json_.isArray() && position_ != json_.size()) {
            reject(path_ + " has too many elements");
        }
    }

private:
    static void require_type(bool valid, const std::string& path, const char* type) {
        if (!valid) {
            reject("field " + path + " is not " + type);
        }
    }
    static void parse(const Json::Value& json, const std::string& path, bool& v) {
        require_type(json.isBool(), path, "a boolean");
        v = json.asBool();
    }
    static void parse(const Json::Value& json, const std::string& path, std::string& v) {
        require_type(json.isString(), path, "a string");
        v = json.asString();
    }
    static void parse(const Json::Value& json, const std::string& path, incarnation_id& v) {
        require_type(json.isString(), path, "an incarnation");
        v = incarnation_from_hex(json.asString());
    }
    template <class Enumeration, std::size_t Size>
    static void parse_name(const Json::Value& json, const std::string& path,
                           const std::array<const char*, Size>& names, Enumeration& v) {
        require_type(json.isString(), path, "a string");
        const auto text = json.asString();
        for (std::size_t i = 0; i < Size; ++i) {
            if (text == names.at(i)) {
                v = static_cast<Enumeration>(i);
                return;
            }
        }
        reject("field " + path + " has no known value");
    }
    static void parse(const Json::Value& json, const std::string& path, member_state& v) {
        parse_name(json, path, member_state_names, v);
    }
    static void parse(const Json::Value& json, const std::string& path, attempt_outcome& v) {
        parse_name(json, path, attempt_outcome_names, v);
    }
    static void parse(const Json::Value& json, const std::string& path, once_outcome& v) {
        parse_name(json, path, once_outcome_names, v);
    }
    static void parse(const Json::Value& json, const std::string& path,
                      std::shared_ptr<const std::string>& v) {
        require_type(json.isString() || json.isNull(), path, "a string or null");
        v = json.isNull() ? nullptr : std::make_shared<const std::string>(json.asString());
    }
    static void parse(const Json::Value& json, const std::string& path, latency_counts& v) {
        std::vector<std::uint64_t> buckets;
        parse(json, path, buckets);
        if (buckets.size() > latency_counts::bucket_count) reject("field " + path + " has too many buckets");
        v = {};
        for (std::size_t bucket = 0; bucket < buckets.size(); ++bucket)
            v.add(bucket, buckets[bucket]);
    }
    template <class T>
    static void parse(const Json::Value& json, const std::string& path, std::vector<T>& values) {
        require_type(json.isArray(), path, "an array");
        values.clear();
        values.reserve(json.size());
        for (const auto& item : json) {
            parse(item, path + "[]", values.emplace_back());
        }
    }
    template <class T>
    static void parse(const Json::Value& json, const std::string& path, T& v) {
        if constexpr (std::is_integral_v<T>) {
            // jsoncpp accepts 1.0 as an integer, but peers never send integers in this form.
            const bool integer = json.type() == Json::intValue || json.type() == Json::uintValue;
            if constexpr (std::is_signed_v<T>) {
                require_type(integer && json.isInt64(), path, "a signed integer");
                v = json.asInt64();
            } else {
                require_type(integer && json.isUInt64() && json.asUInt64() <= std::numeric_limits<T>::max(),
                             path, "an unsigned integer");
                v = static_cast<T>(json.asUInt64());
            }
        } else {
            reader nested(json, path, encoded_as_array<T> ? Json::arrayValue : Json::objectValue);
            visit_fields(nested, v);
            nested.reject_extra_elements();
        }
    }

    const Json::Value& json_;
    std::string path_;
    Json::ArrayIndex position_ = 0;
};

// Decodes the body of a message as the payload alternative of the given method.
template <std::size_t Index = 0>
peer_payload read_payload(const std::string& method, const Json::Value& body) {
    if constexpr (Index == std::variant_size_v<peer_payload>) {
        reject("unknown method " + method);
    } else {
        if (method != method_names.at(Index)) {
            return read_payload<Index + 1>(method, body);
        }
        std::variant_alternative_t<Index, peer_payload> payload;
        reader body_reader(body, "body");
        visit_fields(body_reader, payload);
        return payload;
    }
}

} // namespace

struct peer_decoder::implementation : jsonrpc::IProcedureInvokationHandler {
    implementation()
        : handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this)) {
        for (const auto* method : method_names) {
            jsonrpc::Procedure procedure(method, jsonrpc::PARAMS_BY_NAME, nullptr);
            procedure.AddParameter("from", jsonrpc::JSON_ARRAY);
            procedure.AddParameter("to", jsonrpc::JSON_STRING);
            procedure.AddParameter("body", jsonrpc::JSON_OBJECT);
            handler->AddProcedure(procedure);
        }
    }

    void HandleMethodCall(jsonrpc::Procedure& /*procedure*/, const Json::Value& /*input*/,
                          Json::Value& /*output*/) override {
        reject("a call is not a notification");
    }

    void HandleNotificationCall(jsonrpc::Procedure& procedure, const Json::Value& input) override {
        if (message) {
            reject("more than one notification in a frame");
        }
        peer_message decoded;
        reader params(input, "params");
        params("from", decoded.from);
        params("to", decoded.to);
        decoded.payload = read_payload(procedure.GetProcedureName(), input["body"]);
        message = std::move(decoded);
    }

    std::unique_ptr<jsonrpc::IProtocolHandler> handler;
    std::optional<peer_message> message;
};

peer_decoder::peer_decoder() : implementation_(std::make_unique<implementation>()) {}
peer_decoder::~peer_decoder() = default;
peer_decoder::peer_decoder(peer_decoder&&) noexcept = default;
peer_decoder& peer_decoder::operator=(peer_decoder&&) noexcept = default;

std::string encode_peer_message(const peer_message& message) {
    // visit_fields takes mutable references, also for encoding.
    auto mutable_copy = message;
    writer params;
    params("from", mutable_copy.from);
    params("to", mutable_copy.to);
    std::visit([&](auto& payload) { params("body", payload); }, mutable_copy.payload);
    return build_notification(method_names.at(message.payload.index()), params.release());
}

peer_message peer_decoder::decode(std::string_view text) {
    implementation_->message.reset();
    std::string response;
    try {
        implementation_->handler->HandleRequest(std::string(text), response);
    } catch (const error&) {
        throw;
    } catch (const std::exception& failure) {
        reject(failure.what());
    }
    if (!implementation_->message) {
        reject("rejected by the protocol handler: " + response);
    }
    auto decoded = std::move(*implementation_->message);
    implementation_->message.reset();
    return decoded;
}

} // namespace lacewing
