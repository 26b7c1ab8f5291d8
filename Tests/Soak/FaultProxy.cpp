/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <Tests/Soak/FaultProxy.h>
#include <boost/asio/write.hpp>

namespace Soak {

static size_t index_of(FaultProxy::Direction direction) { return static_cast<size_t>(direction); }

/// One connection through the proxy: a pump in each direction.
class FaultProxy::Link : public std::enable_shared_from_this<Link> {
public:
    Link(Http::asio::io_context& loop, Http::tcp::socket client, Http::tcp::endpoint target,
        std::shared_ptr<State> state)
        : sockets { std::move(client), Http::tcp::socket(loop) }
        , target(target)
        , state(std::move(state))
        , pumps { Pump(loop), Pump(loop) }
    {
    }

    void start()
    {
        auto self = this->shared_from_this();
        this->sockets[1].async_connect(this->target, [self](boost::system::error_code error) {
            if (error)
                return self->reset();
            self->read(Direction::ToTarget);
            self->read(Direction::FromTarget);
        });
    }

    /// Continues with the held bytes.
    void resume()
    {
        for (auto direction : { Direction::ToTarget, Direction::FromTarget }) {
            auto& pump = this->pumps[index_of(direction)];
            if (std::exchange(pump.is_waiting, false))
                this->forward(direction);
        }
    }

    /// Responses are small, so that each arrives in one piece.
    void send_stray_response(std::string const& bytes)
    {
        constexpr u32 min_requests = 2;
        if (!this->awaits_response || this->request_count < min_requests)
            return;
        boost::system::error_code ignored;
        Http::asio::write(this->sink(Direction::FromTarget), Http::asio::buffer(bytes), ignored);
    }

    void reset()
    {
        for (auto& socket : this->sockets) {
            boost::system::error_code ignored;
            // Closing without lingering sends a reset.
            socket.set_option(Http::asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        }
        for (auto& pump : this->pumps)
            pump.timer.cancel();
    }

private:
    static constexpr size_t buffer_bytes = 16'384;

    struct Pump {
        explicit Pump(Http::asio::io_context& loop)
            : timer(loop)
        {
        }
        std::array<char, buffer_bytes> bytes {};
        size_t size { 0 };
        size_t written { 0 };
        boost::system::error_code end;
        bool is_waiting { false };
        AK::Timer timer;
    };

    Http::tcp::socket& source(Direction direction) { return this->sockets[direction == Direction::ToTarget ? 0 : 1]; }
    Http::tcp::socket& sink(Direction direction) { return this->sockets[direction == Direction::ToTarget ? 1 : 0]; }

    void read(Direction direction)
    {
        auto self = this->shared_from_this();
        auto& pump = this->pumps[index_of(direction)];
        this->source(direction).async_read_some(
            Http::asio::buffer(pump.bytes), [self, direction](boost::system::error_code error, size_t size) {
                auto& pump = self->pumps[index_of(direction)];
                pump.end = error;
                pump.size = size;
                pump.written = 0;
                self->record_read(direction);
                self->forward(direction);
            });
    }

    /// Bytes to the target after bytes from it belong to the next request.
    void record_read(Direction direction)
    {
        bool const is_request = direction == Direction::ToTarget;
        if (is_request && !this->awaits_response)
            ++this->request_count;
        this->awaits_response = is_request;
    }

    void forward(Direction direction)
    {
        auto& pump = this->pumps[index_of(direction)];
        if (this->state->is_held[index_of(direction)]) {
            pump.is_waiting = true;
            return;
        }
        auto const& link = this->state->shared_links[index_of(direction)];
        auto const delay = this->state->delay + (link ? link->pass(pump.size) : Duration(0));
        if (delay == 0s)
            return this->write(direction);
        this->write_after(delay, direction);
    }

    void write_after(Duration delay, Direction direction)
    {
        auto self = this->shared_from_this();
        auto& pump = this->pumps[index_of(direction)];
        pump.timer.expires_after(delay);
        pump.timer.async_wait([self, direction](boost::system::error_code error) {
            if (!error)
                self->write(direction);
        });
    }

    void write(Direction direction)
    {
        auto& pump = this->pumps[index_of(direction)];
        if (pump.end == Http::asio::error::eof)
            return this->half_close(direction);
        if (pump.end)
            return this->reset();
        auto self = this->shared_from_this();
        Http::asio::async_write(this->sink(direction),
            Http::asio::buffer(pump.bytes.data() + pump.written, this->next_size(direction)),
            [self, direction](boost::system::error_code error, size_t size) {
                if (error)
                    return self->reset();
                self->written(direction, size);
            });
    }

    /// Bytes of the next write: all that remain, or those before the tail.
    [[nodiscard]] size_t next_size(Direction direction) const
    {
        auto const& pump = this->pumps[index_of(direction)];
        auto const tail = this->state->tail_size;
        bool const has_delayed_tail = direction == Direction::ToTarget && pump.written == 0 && pump.size > tail;
        return has_delayed_tail ? pump.size - tail : pump.size - pump.written;
    }

    void written(Direction direction, size_t size)
    {
        auto& pump = this->pumps[index_of(direction)];
        pump.written += size;
        if (pump.written == pump.size)
            return this->read(direction);
        this->write_after(this->state->tail_delay, direction);
    }

    void half_close(Direction direction)
    {
        boost::system::error_code ignored;
        this->sink(direction).shutdown(Http::tcp::socket::shutdown_send, ignored);
    }

    std::array<Http::tcp::socket, 2> sockets;
    Http::tcp::endpoint target;
    std::shared_ptr<State> state;
    std::array<Pump, 2> pumps;
    u32 request_count { 0 };
    bool awaits_response { false };
};

FaultProxy::FaultProxy(Http::asio::io_context& loop, Http::tcp::endpoint listen, Http::tcp::endpoint target)
    : loop(loop)
    , listen(listen)
    , target(target)
    , acceptor(loop, listen, true)
    , state(std::make_shared<State>())
{
    this->accept();
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::accept()
{
    this->acceptor.async_accept([this](boost::system::error_code error, Http::tcp::socket socket) {
        if (error == Http::asio::error::operation_aborted)
            return;
        if (!error) {
            auto link = std::make_shared<Link>(this->loop, std::move(socket), this->target, this->state);
            std::erase_if(this->links, [](auto const& known) { return known.expired(); });
            this->links.push_back(link);
            link->start();
        }
        this->accept();
    });
}

void FaultProxy::set_delay(Duration delay) { this->state->delay = delay; }

void FaultProxy::set_link(Direction direction, std::shared_ptr<SharedLink> link)
{
    this->state->shared_links[index_of(direction)] = std::move(link);
}

void FaultProxy::set_tail(size_t size, Duration delay)
{
    this->state->tail_size = size;
    this->state->tail_delay = delay;
}

void FaultProxy::hold(Direction direction) { this->state->is_held[index_of(direction)] = true; }

void FaultProxy::hold_all() { this->state->is_held = { true, true }; }

void FaultProxy::reset_all()
{
    for (auto const& known : this->links) {
        if (auto link = known.lock())
            link->reset();
    }
}

void FaultProxy::send_stray_response(std::string const& bytes)
{
    for (auto const& known : this->links) {
        if (auto link = known.lock())
            link->send_stray_response(bytes);
    }
}

void FaultProxy::listen_with_queue_of(int connections)
{
    this->acceptor = Http::tcp::acceptor(this->loop, this->listen.protocol());
    this->acceptor.set_option(Http::tcp::acceptor::reuse_address(true));
    this->acceptor.bind(this->listen);
    this->acceptor.listen(connections);
}

void FaultProxy::refuse_connections() { this->acceptor.close(); }

void FaultProxy::ignore_connections()
{
    this->acceptor.close();
    // With a queue of size 0, one connection that is not accepted makes the kernel ignore all others.
    this->listen_with_queue_of(0);
    this->filler.emplace(this->loop);
    this->filler->connect(this->listen);
}

void FaultProxy::heal()
{
    bool const is_accepting = this->acceptor.is_open() && !this->filler;
    if (!is_accepting) {
        this->filler.reset();
        this->acceptor.close();
        this->listen_with_queue_of(Http::tcp::acceptor::max_listen_connections);
        this->accept();
    }
    *this->state = {};
    for (auto const& known : this->links) {
        if (auto link = known.lock())
            link->resume();
    }
}

}
