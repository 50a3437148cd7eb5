#include "fakes/endpoint/endpoint_service.h"

#include "fakes/endpoint/fake_endpoint.h"
#include "protocol/url.h"
#include "state/error_kind.h"
#include "transport/monotonic_clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>
#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <chrono>

namespace lacewing::fakes {

namespace asio = boost::asio;

namespace {

std::string quoted(std::string_view text) {
    return Json::valueToQuotedString(std::string(text).c_str());
}

Json::Value parse_object(const std::string& text) {
    Json::Value value;
    const std::unique_ptr<Json::CharReader> parser(Json::CharReaderBuilder().newCharReader());
    std::string problem;
    if (!parser->parse(text.data(), text.data() + text.size(), &value, &problem) || !value.isObject()) {
        throw error(error_kind::bad_request, "the body is not a JSON object: " + problem);
    }
    return value;
}

} // namespace

endpoint_service::endpoint_service(const asio::any_io_executor& executor,
                                   const std::vector<std::string>& listen, std::string_view admin,
                                   const endpoint_behaviour& behaviour, std::uint64_t seed)
    : executor_(executor), shared_(std::make_shared<endpoint_shared_state>()),
      admin_(executor, admin, {},
             [this](http_request request) { return handle_admin_request(std::move(request)); }) {
    shared_->random_engine.seed(seed);
    for (const auto& address : listen) {
        endpoints_.push_back(std::make_shared<fake_endpoint>(executor, address, behaviour, shared_));
        asio::co_spawn(executor, endpoints_.back()->accept_all(), asio::detached);
    }
}

endpoint_service::~endpoint_service() {
    for (const auto& endpoint : endpoints_) {
        endpoint->close();
    }
}

std::vector<std::string> endpoint_service::addresses() const {
    std::vector<std::string> all;
    for (const auto& endpoint : endpoints_) {
        all.push_back(endpoint->address());
    }
    return all;
}

void endpoint_service::change_behaviour(const Json::Value& change) {
    const auto address = change.get("endpoint", "").asString();
    bool found = false;
    for (const auto& endpoint : endpoints_) {
        if (!address.empty() && endpoint->address() != address) continue;
        found = true;
        apply_behaviour(change, endpoint->behaviour());
        endpoint->on_behaviour_changed(change.get("restart", false).asBool());
    }
    if (!found) throw error(error_kind::bad_request, fmt::format("no endpoint '{}'", address));
}

asio::awaitable<void> endpoint_service::stop() {
    for (const auto& endpoint : endpoints_) {
        endpoint->close();
    }
    const auto has_requests_in_flight = [](const auto& endpoint) { return endpoint->in_flight() > 0; };
    asio::steady_timer timer(executor_);
    while (std::any_of(endpoints_.begin(), endpoints_.end(), has_requests_in_flight)) {
        timer.expires_after(std::chrono::milliseconds(10));
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_await admin_.stop();
}

asio::awaitable<http_response> endpoint_service::handle_admin_request(http_request request) {
    std::string problem;
    try {
        const auto target = parse_target(request.target());
        if (target.path == "/admin/behaviour") {
            change_behaviour(parse_object(request.body()));
            co_return make_response(200, "{}");
        }
        if (target.path == "/admin/ledger") {
            const auto first = parse_number(target.parameter("first", "0"), "first");
            const auto limit = parse_number(target.parameter("limit", "1000000000"), "limit");
            co_return make_response(200, ledger_json(first, limit));
        }
        if (target.path == "/admin/summary") {
            co_return make_response(200, summary_json(target.parameter("search")));
        }
        co_return make_response(404, R"({"error":"no such resource"})");
    } catch (const error& malformed) {
        problem = malformed.what();
    }
    co_return make_response(400, fmt::format(R"({{"error":{}}})", quoted(problem)));
}

std::string endpoint_service::ledger_json(std::size_t first, std::size_t limit) const {
    const auto& ledger = shared_->ledger;
    const auto& all = ledger.executions();
    const auto count = first < all.size() ? std::min(limit, all.size() - first) : 0;
    std::string text = fmt::format(R"({{"total":{},"executions":[)", all.size());
    for (std::size_t i = first; i < first + count; ++i) {
        const auto& entry = all[i];
        if (i > first) text += ',';
        text += fmt::format(
            R"({{"request_id":{},"account":{},"endpoint":{},"target":{},"state":"{}","started_ms":{},"headers":[)",
            quoted(entry.request_id), quoted(ledger.strings().at(entry.account_index)),
            quoted(ledger.strings().at(entry.endpoint_index)),
            quoted(ledger.strings().at(entry.target_index)), to_string(entry.state), entry.started.count);
        for (std::size_t h = 0; h < entry.header_line_indices.size(); ++h) {
            if (h > 0) text += ',';
            text += quoted(ledger.strings().at(entry.header_line_indices[h]));
        }
        text += "]}";
    }
    return text + "]}";
}

std::string endpoint_service::summary_json(std::string_view search) const {
    const auto& ledger = shared_->ledger;
    std::string text = fmt::format(
        R"({{"executed":{},"completed":{},"failed":{},"cancelled":{},"deadline_exceeded":{},"shed":{},)"
        R"("refused_connections":{},"aborted_uploads":{},"double_executions":{},"last_request_ms":{},)",
        ledger.executions().size(), ledger.count(execution_state::completed),
        ledger.count(execution_state::failed), ledger.count(execution_state::cancelled),
        ledger.count(execution_state::deadline_exceeded), shared_->shed_requests,
        shared_->refused_connections, shared_->aborted_uploads, ledger.double_executions(),
        ledger.last_started().count);
    if (!search.empty()) {
        text += fmt::format(R"("found":{},)", ledger.search(search).size());
    }
    text += R"("endpoints":[)";
    for (const auto& endpoint : endpoints_) {
        if (text.back() != '[') text += ',';
        text += endpoint->summary_json();
    }
    return text + "]}";
}

} // namespace lacewing::fakes
