/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Types.h>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace Http::Test {

/// A caller with one persistent connection on loopback. It writes immediately, so that the bytes wait in the server's
/// socket until the event loop runs.
class PersistentCaller {
public:
    inline static std::string const get_request = "GET /ask HTTP/1.1\r\nHost: example\r\n\r\n";
    inline static std::string const post_body = "question";
    static std::string head_of_post(size_t body_bytes)
    {
        return "POST /ask HTTP/1.1\r\nHost: example\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
    }
    inline static std::string const post_head = head_of_post(post_body.size());
    inline static std::string const post_request = post_head + post_body;

    PersistentCaller(asio::io_context& loop, tcp::endpoint const& server)
        : socket(loop)
    {
        this->socket.connect(server);
        this->socket.non_blocking(true);
    }

    /// Writes without waiting, so `bytes` must fit into the socket's buffers: a few hundred kilobytes on loopback.
    void send(std::string const& bytes)
    {
        boost::system::error_code error;
        auto count = asio::write(this->socket, asio::buffer(bytes), error);
        REQUIRE((error || count == bytes.size()));
    }

    /// Writes as much as the socket takes without waiting. Returns whether the server has not reset the connection.
    [[nodiscard]] bool try_send(std::string const& bytes)
    {
        boost::system::error_code error;
        this->socket.write_some(asio::buffer(bytes), error);
        return !error || error == asio::error::would_block;
    }

    /// Number of responses received so far.
    [[nodiscard]] size_t responses()
    {
        this->receive();
        size_t count = 0;
        for (auto position = this->received.find(status_line); position != std::string::npos;
             position = this->received.find(status_line, position + 1))
            ++count;
        return count;
    }

    /// Whether the server has closed or reset the connection.
    [[nodiscard]] bool is_closed()
    {
        this->receive();
        return this->has_ended;
    }

    [[nodiscard]] std::string const& bytes()
    {
        this->receive();
        return this->received;
    }

private:
    static constexpr std::string_view status_line = "HTTP/1.1 200 OK\r\n";

    void receive()
    {
        std::array<char, 4096> piece {};
        boost::system::error_code error;
        while (!this->has_ended) {
            auto count = this->socket.read_some(asio::buffer(piece), error);
            if (error == asio::error::would_block)
                return;
            this->has_ended = error.failed();
            this->received.append(piece.data(), count);
        }
    }

    tcp::socket socket;
    std::string received;
    bool has_ended { false };
};

}
