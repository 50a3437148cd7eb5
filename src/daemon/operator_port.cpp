#include "daemon/operator_port.h"

#include "transport/detached.h"

#include <prometheus/text_serializer.h>

#include <fmt/format.h>

namespace lacewing {

namespace asio = boost::asio;

namespace {

// Time after which a thread that has not produced its text counts as not answering.
constexpr std::chrono::milliseconds source_timeout{2000};

// Limits of the operator port, whose requests need no body.
http_limits operator_limits() {
    http_limits limits;
    limits.body_bytes = std::uint64_t{4} * 1024;
    limits.connections = 256;
    return limits;
}

// Text that was requested from another thread.
struct pending_text {
    explicit pending_text(asio::io_context& context) : timer(context, source_timeout) {}
    asio::steady_timer timer;
    std::string text;
    bool done = false;
};

// Runs make_text on the thread of `owner` and returns its result on the thread of `own`. Returns an empty
// text when the owner does not answer within source_timeout.
asio::awaitable<std::string> fetch_text(asio::io_context& own, asio::io_context& owner,
                                        std::function<std::string()> make_text) {
    auto pending = std::make_shared<pending_text>(own);
    asio::post(owner, [&own, pending, make_text = std::move(make_text)] {
        auto text = make_text();
        asio::post(own, [pending, text = std::move(text)]() mutable {
            pending->text = std::move(text);
            pending->done = true;
            pending->timer.cancel();
        });
    });
    boost::system::error_code ignored;
    if (!pending->done) {
        co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return pending->text;
}

} // namespace

operator_port::operator_port(const std::string& listen_address, prometheus::Registry& registry,
                             sources answer_sources)
    : registry_(registry), sources_(std::move(answer_sources)),
      server_(std::make_unique<http_server>(
          context_.get_executor(), listen_address, operator_limits(),
          [this](http_request request) { return answer(std::move(request)); })) {}

operator_port::~operator_port() {
    stop();
}

void operator_port::start() {
    thread_ = std::thread([this] { run_event_loop(context_); });
}

void operator_port::stop() {
    context_.stop();
    if (thread_.joinable()) thread_.join();
}

asio::awaitable<http_response> operator_port::answer(http_request request) {
    const std::string target(request.target());
    if (target == "/metrics") co_return make_response(200, metrics(), "text/plain; version=0.0.4");
    if (target == "/healthz") {
        const auto reason = co_await fetch_text(context_, *sources_.control, sources_.readiness);
        if (reason == "ready") co_return make_response(200, "{\"ready\":true}\n");
        co_return make_response(503,
                                fmt::format("{{\"ready\":false,\"reason\":\"{}\"}}\n",
                                            reason.empty() ? "the control thread does not answer" : reason));
    }
    if (target == "/fleet")
        co_return make_response(200, co_await fetch_text(context_, *sources_.control, sources_.fleet));
    if (target == "/dump") {
        const auto serve = co_await fetch_text(context_, *sources_.serve, sources_.serve_dump);
        const auto control = co_await fetch_text(context_, *sources_.control, sources_.control_dump);
        co_return make_response(200, fmt::format("{{\"serve\":{},\n\"control\":{}}}\n",
                                                 serve.empty() ? "null" : serve,
                                                 control.empty() ? "null" : control));
    }
    co_return make_response(404,
                            "{\"error\":\"not_found\",\"detail\":\"/metrics, /dump, /fleet or /healthz\"}\n");
}

std::string operator_port::metrics() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace lacewing
