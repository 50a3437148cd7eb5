#pragma once

#include <utility>

#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace lacewing {

/// @brief Body of a request that is being received, as a string whose memory follows the bytes that have
/// arrived. string_body of Beast allocates the announced length when the head is complete.
struct growing_body {
    using value_type = std::string;

    /// Memory is added in steps of at most this much, so that little of it is unused.
    static constexpr std::size_t max_growth_bytes = std::size_t{64} * 1024;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body) : body_(body) {}

        void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& failure) {
            failure = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& failure) {
            failure = {};
            const auto count = boost::beast::buffer_bytes(buffers);
            const auto needed = body_.size() + count;
            if (needed > body_.capacity()) {
                // reserve() may double the capacity, so the bytes move to a string of the wanted capacity.
                std::string larger;
                larger.reserve(std::max(needed, body_.size() + std::min(body_.size(), max_growth_bytes)));
                larger.append(body_);
                body_.swap(larger);
            }
            for (const auto buffer : boost::beast::buffers_range_ref(buffers))
                body_.append(static_cast<const char*>(buffer.data()), buffer.size());
            return count;
        }

        void finish(boost::system::error_code& failure) { failure = {}; }

    private:
        value_type& body_;
    };
};

} // namespace lacewing
