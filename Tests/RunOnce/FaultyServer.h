/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/Types.h>
#include <Tests/Support/Endpoints.h>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Test {

/// A backend server whose bytes the test decides on, request by request. It records what it has run.
class FaultyServer {
public:
    /// Bytes that are written after a delay. They are written in this order.
    struct Part {
        Duration delay { 0 };
        std::string bytes;
    };
    /// What becomes of one request.
    struct Plan {
        bool runs { true };
        std::vector<Part> parts;
        bool closes { false };
    };
    /// A request, and what its connection has carried before it.
    struct Arrival {
        std::string attempt;
        /// The attempt of the request before it on the connection; empty if it is the first.
        std::string previous_attempt;
        [[nodiscard]] bool is_first() const { return this->previous_attempt.empty(); }
    };
    using MakePlan = std::function<Plan(Arrival const&)>;

    FaultyServer(Http::asio::io_context& loop, std::string id, MakePlan make_plan)
        : loop(loop)
        , name(std::move(id))
        , make_plan(std::move(make_plan))
        , local(free_endpoint())
        , acceptor(loop, this->local)
    {
        this->accept();
    }

    [[nodiscard]] std::string const& id() const { return this->name; }
    [[nodiscard]] std::string address() const { return text_of(this->local); }
    [[nodiscard]] u32 runs_of(std::string const& attempt) const
    {
        auto found = this->runs.find(attempt);
        return found == this->runs.end() ? 0 : found->second;
    }
    [[nodiscard]] u32 arrivals() const { return this->arrival_count; }
    /// The value of its row in the platform's table.
    [[nodiscard]] std::string row(std::string const& service, std::string const& domain) const
    {
        return R"({"service":")" + service + R"(","addr":")" + this->address() + R"(","zone":")" + domain
            + R"(","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"call_seq":1,"born":1790000000000})";
    }

    /// Formats a response. An empty attempt names nobody.
    static std::string response(
        unsigned status, std::string const& attempt, std::string const& fields, std::string const& body = {})
    {
        auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
        if (!attempt.empty())
            text += "Lilactiller-Attempt-Id: " + attempt + "\r\n";
        return text + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    static std::string success(std::string const& attempt)
    {
        return response(200, attempt, signature, "answer of " + attempt);
    }

    static constexpr auto signature = "Lilactiller-Response-Stamp: s\r\n";
    static constexpr auto not_run = "Lilactiller-Not-Executed: 1\r\n";

private:
    struct Connection {
        explicit Connection(Http::tcp::socket socket)
            : socket(std::move(socket))
            , timer(this->socket.get_executor())
        {
        }
        Http::tcp::socket socket;
        AK::Timer timer;
        Http::beast::flat_buffer buffer;
        std::optional<Http::beast::http::request_parser<Http::beast::http::string_body>> parser;
        std::string previous_attempt;
        Plan plan;
        size_t next_part { 0 };
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept()
    {
        this->acceptor.async_accept([this](boost::system::error_code error, Http::tcp::socket socket) {
            if (error)
                return;
            this->read(std::make_shared<Connection>(std::move(socket)));
            this->accept();
        });
    }

    void read(ConnectionPointer const& connection)
    {
        connection->parser.emplace();
        Http::beast::http::async_read(connection->socket, connection->buffer, *connection->parser,
            [this, connection](boost::system::error_code error, size_t) {
                if (!error)
                    this->handle(connection);
            });
    }

    void handle(ConnectionPointer const& connection)
    {
        ++this->arrival_count;
        auto const attempt = std::string(connection->parser->get()["Lilactiller-Attempt-Id"]);
        connection->plan = this->make_plan({ attempt, connection->previous_attempt });
        connection->previous_attempt = attempt;
        connection->next_part = 0;
        if (connection->plan.runs)
            ++this->runs[attempt];
        this->write_next(connection);
    }

    void write_next(ConnectionPointer const& connection)
    {
        if (connection->next_part == connection->plan.parts.size())
            return this->finish(connection);
        connection->timer.expires_after(connection->plan.parts[connection->next_part].delay);
        connection->timer.async_wait([this, connection](boost::system::error_code) {
            auto const& part = connection->plan.parts[connection->next_part++];
            boost::system::error_code error;
            Http::asio::write(connection->socket, Http::asio::buffer(part.bytes), error);
            if (!error)
                this->write_next(connection);
        });
    }

    void finish(ConnectionPointer const& connection)
    {
        if (connection->plan.closes)
            return connection->socket.close();
        this->read(connection);
    }

    Http::asio::io_context& loop;
    std::string name;
    MakePlan make_plan;
    Http::tcp::endpoint local;
    Http::tcp::acceptor acceptor;
    std::map<std::string, u32> runs;
    u32 arrival_count { 0 };
};

}
