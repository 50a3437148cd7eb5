#pragma once

#include "coordination/peer_message.h"

#include <memory>
#include <string>
#include <string_view>

namespace lacewing {

/// @brief Encodes a message as a JSON-RPC 2.0 notification.
std::string encode_peer_message(const peer_message& message);

/// @brief Decodes JSON-RPC 2.0 notifications. Reuses one protocol handler for all calls; not thread-safe.
class peer_decoder {
public:
    peer_decoder();
    ~peer_decoder();
    peer_decoder(peer_decoder&&) noexcept;
    peer_decoder& operator=(peer_decoder&&) noexcept;
    peer_decoder(const peer_decoder&) = delete;
    peer_decoder& operator=(const peer_decoder&) = delete;

    /// @brief Decodes a text that holds exactly one notification.
    /// @throws error with error_kind::bad_request for malformed JSON, an unknown method, a missing field or a
    /// wrong type; the detail names the field.
    peer_message decode(std::string_view text);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lacewing
