/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Types.h>
#include <array>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <memory>

namespace Test {

/// The bytes that a caller sends: `start`, then `repeated` a number of times, then `end`.
struct CallerBytes {
    std::string start;
    /// Shared by all callers of a crowd, so that the test itself stays small.
    std::shared_ptr<std::string const> repeated;
    size_t repetitions { 0 };
    std::string end;
};

/// A caller that sends its bytes as fast as its connection takes them, and then keeps the connection open. It reads
/// what the host sends meanwhile.
class CrowdCaller : public std::enable_shared_from_this<CrowdCaller> {
public:
    CrowdCaller(Http::asio::io_context& loop, CallerBytes bytes)
        : socket(loop)
        , bytes(std::move(bytes))
    {
    }

    void start(Http::tcp::endpoint const& host)
    {
        this->socket.connect(host);
        this->receive();
        this->send(this->bytes.start);
    }

    /// Whether it has sent everything, or the host has ended the connection.
    [[nodiscard]] bool is_settled() const { return this->has_settled; }
    /// Whether the host has ended the connection.
    [[nodiscard]] bool has_ended() const { return this->is_ended; }
    /// Status of the response; 0 if there is none.
    [[nodiscard]] unsigned status() const
    {
        constexpr std::string_view version = "HTTP/1.1 ";
        if (!this->received.starts_with(version))
            return 0;
        return static_cast<unsigned>(std::atoi(this->received.c_str() + version.size()));
    }
    void leave()
    {
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

private:
    void send(std::string const& piece)
    {
        boost::asio::async_write(this->socket, Http::asio::buffer(piece),
            [self = this->shared_from_this()](boost::system::error_code error, size_t) {
                if (error)
                    self->has_settled = true;
                else
                    self->send_next();
            });
    }

    void send_next()
    {
        if (this->sent_repetitions < this->bytes.repetitions) {
            ++this->sent_repetitions;
            return this->send(*this->bytes.repeated);
        }
        if (!std::exchange(this->has_sent_end, true))
            return this->send(this->bytes.end);
        this->has_settled = true;
    }

    void receive()
    {
        this->socket.async_read_some(Http::asio::buffer(this->piece),
            [self = this->shared_from_this()](boost::system::error_code error, size_t count) {
                self->received.append(self->piece.data(), count);
                if (!error)
                    return self->receive();
                self->is_ended = true;
            });
    }

    Http::tcp::socket socket;
    CallerBytes bytes;
    size_t sent_repetitions { 0 };
    bool has_sent_end { false };
    bool has_settled { false };
    bool is_ended { false };
    std::array<char, 4096> piece {};
    std::string received;
};

}
