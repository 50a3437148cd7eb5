#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing::testing {

/// @brief What each caller of a crowd sends, and where it stops.
struct crowd_plan {
    std::size_t callers = 0;
    /// Head of the request with its final empty line.
    std::string head;
    /// Body as sent, with its chunk framing.
    std::string body;
    /// Bytes left out at the end of the body by seven of eight callers; they keep the connection open.
    std::size_t unsent = 0;
    /// Bytes that a caller sends before it is the next one's turn.
    std::size_t step = std::size_t{16} * 1024;
};

/// @brief Callers that send at the same time, each on a connection of its own, and never read an answer.
class hostile_crowd {
public:
    /// @brief Connects all callers.
    /// @param address "IPv4:port".
    hostile_crowd(std::string_view address, crowd_plan plan);
    ~hostile_crowd();
    hostile_crowd(const hostile_crowd&) = delete;
    hostile_crowd& operator=(const hostile_crowd&) = delete;
    hostile_crowd(hostile_crowd&&) = delete;
    hostile_crowd& operator=(hostile_crowd&&) = delete;

    /// @brief Sends in turns until every caller has sent its part, was closed by the peer, or none can send.
    void send_all();
    /// @brief Number of callers that have sent their whole part.
    [[nodiscard]] std::size_t sent() const;
    /// @brief Number of callers whose connection failed or was closed by the peer while they were sending.
    [[nodiscard]] std::size_t closed() const;

private:
    struct caller {
        int socket = -1;
        std::size_t position = 0;
        std::size_t end = 0;
        bool closed = false;
    };
    bool send_step(caller& one) const;

    crowd_plan plan_;
    std::string bytes_;
    std::vector<caller> callers_;
};

/// @brief Wraps a body in chunks.
std::string in_chunks(std::string_view body, std::size_t chunk_bytes);

} // namespace lacewing::testing
