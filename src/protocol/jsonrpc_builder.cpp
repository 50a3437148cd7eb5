#include "protocol/jsonrpc_builder.h"

#include <jsonrpccpp/client.h>

namespace lacewing {

namespace {

// Transport for the library's client that stores the message instead of sending it.
class capturing_connector : public jsonrpc::IClientConnector {
public:
    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override {
        message_ = message;
        result.clear();
    }
    const std::string& message() const { return message_; }

private:
    std::string message_;
};

} // namespace

std::string build_notification(const std::string& method, const Json::Value& params) {
    capturing_connector connector;
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallNotification(method, params);
    return connector.message();
}

} // namespace lacewing
