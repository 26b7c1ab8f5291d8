/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "World.h"
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace Review {

static Clock::time_point const program_start = Clock::now();
static std::ofstream record_file;
static std::mutex record_mutex;

double now_s() { return std::chrono::duration<double>(Clock::now() - program_start).count(); }

void sleep_ms(int milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

void open_record(std::string const& path) { record_file.open(path, std::ios::trunc); }

void record(std::string const& line)
{
    std::lock_guard const lock(record_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", now_s());
    std::cout << time << line << std::endl;
    record_file << time << line << std::endl;
}

bool wait_until(std::function<bool()> const& condition, int timeout_ms)
{
    auto const end = Clock::now() + std::chrono::milliseconds(timeout_ms);
    while (!condition()) {
        if (Clock::now() >= end)
            return false;
        sleep_ms(10);
    }
    return true;
}

// --- HTTP/1.1

static bool equals_ignoring_case(std::string const& left, std::string const& right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string Message::header(std::string const& name) const
{
    for (auto const& [key, value] : this->headers) {
        if (equals_ignoring_case(key, name))
            return value;
    }
    return {};
}

std::string Message::method() const { return this->start.substr(0, this->start.find(' ')); }

std::string Message::target() const
{
    auto const begin = this->start.find(' ') + 1;
    return this->start.substr(begin, this->start.find(' ', begin) - begin);
}

int Message::status() const { return std::atoi(this->start.substr(this->start.find(' ') + 1).c_str()); }

Connection::Connection(int descriptor)
    : descriptor(descriptor)
{
    int const on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection() { ::close(this->descriptor); }

static sockaddr_in address_of(std::string const& address)
{
    auto const colon = address.rfind(':');
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

std::shared_ptr<Connection> Connection::open(std::string const& address, int timeout_ms)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval const timeout { timeout_ms / 1000, (timeout_ms % 1000) * 1000 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    auto const to = address_of(address);
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&to), sizeof to) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    timeval const none {};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof none);
    return std::make_shared<Connection>(descriptor);
}

bool Connection::send(std::string const& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        auto const count = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

bool Connection::fill(int timeout_ms)
{
    pollfd state { this->descriptor, POLLIN, 0 };
    if (::poll(&state, 1, std::max(0, timeout_ms)) <= 0)
        return false;
    char bytes[65536];
    constexpr size_t slow_read = 4096;
    auto const count = ::recv(this->descriptor, bytes, this->read_rate > 0 ? slow_read : sizeof bytes, 0);
    if (count <= 0)
        return false;
    if (this->read_rate > 0)
        sleep_ms(static_cast<int>(1000 * count / this->read_rate));
    this->buffer.append(bytes, static_cast<size_t>(count));
    return true;
}

std::optional<Message> Connection::read_message(int timeout_ms, bool is_response)
{
    auto const end = Clock::now() + std::chrono::milliseconds(timeout_ms);
    auto const left = [&] {
        return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count());
    };
    size_t head_end = 0;
    while ((head_end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(left()))
            return {};
    }
    Message message;
    std::istringstream head(this->buffer.substr(0, head_end + 2));
    this->buffer.erase(0, head_end + 4);
    std::string line;
    std::getline(head, line);
    message.start = line.substr(0, line.find('\r'));
    while (std::getline(head, line) && line != "\r") {
        line = line.substr(0, line.find('\r'));
        auto const colon = line.find(':');
        auto const value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    if (equals_ignoring_case(message.header("Transfer-Encoding"), "chunked")) {
        message.is_framed = true;
        while (true) {
            size_t line_end = 0;
            while ((line_end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill(left()))
                    return message;
            }
            auto const size = std::strtoul(this->buffer.c_str(), nullptr, 16);
            while (this->buffer.size() < line_end + 2 + size + 2) {
                if (!this->fill(left())) {
                    message.body += this->buffer.substr(std::min(this->buffer.size(), line_end + 2));
                    return message;
                }
            }
            message.body += this->buffer.substr(line_end + 2, size);
            this->buffer.erase(0, line_end + 2 + size + 2);
            if (size == 0)
                break;
        }
        message.is_complete = true;
        return message;
    }
    auto const length = message.header("Content-Length");
    if (length.empty() && is_response) {
        while (this->fill(left())) { }
        message.body = std::exchange(this->buffer, {});
        message.is_complete = this->peer_has_closed();
        return message;
    }
    message.is_framed = true;
    auto const size = static_cast<size_t>(std::atoll(length.c_str()));
    while (this->buffer.size() < size) {
        if (!this->fill(left())) {
            message.body = std::exchange(this->buffer, {});
            return message;
        }
    }
    message.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    message.is_complete = true;
    return message;
}

bool Connection::peer_has_closed()
{
    pollfd state { this->descriptor, POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0;
}

std::string Connection::unread_bytes(int wait_ms)
{
    this->fill(wait_ms);
    return this->buffer;
}

void Connection::close() { ::shutdown(this->descriptor, SHUT_RDWR); }

static std::string message_text(
    std::string const& start, std::vector<std::pair<std::string, std::string>> const& headers, std::string const& body)
{
    auto text = start + "\r\n";
    bool has_framing = false;
    for (auto const& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
        has_framing |= equals_ignoring_case(name, "Content-Length") || equals_ignoring_case(name, "Transfer-Encoding")
            || (equals_ignoring_case(name, "Connection") && equals_ignoring_case(value, "close"));
    }
    if (!has_framing)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string request(std::string const& method, std::string const& target,
    std::vector<std::pair<std::string, std::string>> const& headers, std::string const& body)
{
    return message_text(method + ' ' + target + " HTTP/1.1", headers, body);
}

std::string response(
    int status, std::vector<std::pair<std::string, std::string>> const& headers, std::string const& body)
{
    return message_text("HTTP/1.1 " + std::to_string(status) + (status < 400 ? " OK" : " Failed"), headers, body);
}

Listener::Listener(std::string const& ip, std::function<void(std::shared_ptr<Connection>)> serve)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , serve(std::move(serve))
{
    auto at = address_of(ip + ":0");
    if (::bind(this->descriptor, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0
        || ::listen(this->descriptor, 1024) != 0)
        throw std::runtime_error("cannot listen at " + ip);
    socklen_t size = sizeof at;
    ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&at), &size);
    this->bound_address = ip + ':' + std::to_string(ntohs(at.sin_port));
    this->acceptor = std::thread([this] {
        while (!this->is_stopped) {
            pollfd state { this->descriptor, POLLIN, 0 };
            if (::poll(&state, 1, 20) <= 0)
                continue;
            int const accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            auto connection = std::make_shared<Connection>(accepted);
            {
                std::lock_guard const lock(this->mutex);
                this->connections.push_back(connection);
            }
            std::thread([this, connection] { this->serve(connection); }).detach();
        }
    });
}

Listener::~Listener() { this->stop(); }

void Listener::stop()
{
    if (this->is_stopped.exchange(true))
        return;
    this->acceptor.join();
    ::close(this->descriptor);
    std::lock_guard const lock(this->mutex);
    for (auto const& known : this->connections) {
        if (auto connection = known.lock())
            connection->close();
    }
}

int free_port(std::string const& ip)
{
    for (int tries = 0; tries < 100; ++tries) {
        int const stream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const datagram = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        auto at = address_of(ip + ":0");
        socklen_t size = sizeof at;
        bool const is_free = ::bind(stream, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0
            && ::getsockname(stream, reinterpret_cast<sockaddr*>(&at), &size) == 0
            && ::bind(datagram, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
        ::close(stream);
        ::close(datagram);
        if (is_free)
            return ntohs(at.sin_port);
    }
    throw std::runtime_error("no free port at " + ip);
}

// --- the platform's store

static std::string to_base64(std::string const& bytes)
{
    static char const digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            text += k <= bytes.size() - i ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

static std::string from_base64(std::string const& text)
{
    std::string bytes;
    uint32_t group = 0;
    int bits = 0;
    for (char const letter : text) {
        int value = 0;
        if (letter >= 'A' && letter <= 'Z')
            value = letter - 'A';
        else if (letter >= 'a' && letter <= 'z')
            value = letter - 'a' + 26;
        else if (letter >= '0' && letter <= '9')
            value = letter - '0' + 52;
        else if (letter == '+')
            value = 62;
        else if (letter == '/')
            value = 63;
        else
            break;
        group = group << 6 | static_cast<uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

static std::map<std::string, std::string> query_of(std::string const& target)
{
    std::map<std::string, std::string> query;
    auto const mark = target.find('?');
    if (mark == std::string::npos)
        return query;
    std::istringstream parts(target.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        auto const equals = part.find('=');
        std::string value;
        for (size_t i = equals + 1; i < part.size(); ++i) {
            if (part[i] == '%' && i + 2 < part.size()) {
                value += static_cast<char>(std::strtoul(part.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                value += part[i];
            }
        }
        query[part.substr(0, equals)] = value;
    }
    return query;
}

static std::string row_text(std::string const& table, std::string const& part, std::string const& key,
    std::string const& value, uint64_t version)
{
    return R"({"table":")" + table + R"(","part":")" + part + R"(","key":")" + key + R"(","value":")" + to_base64(value)
        + R"(","ver":)" + std::to_string(version);
}

/// The platform's history_s.
static constexpr double history_s = 20;

Store::Store(std::string const& ip, size_t addresses)
    : turned_away(addresses, false)
{
    for (size_t index = 0; index < addresses; ++index)
        this->listeners.push_back(std::make_unique<Listener>(
            ip, [this, index](std::shared_ptr<Connection> const& connection) { this->serve(index, connection); }));
}

uint64_t Store::put(std::string const& table, std::string const& key, std::string const& value)
{
    std::lock_guard const lock(this->mutex);
    this->tables[{ table, "" }][key] = { value, ++this->version, false };
    this->history.emplace_back(now_s(), this->version);
    this->changed.notify_all();
    return this->version;
}

uint64_t Store::remove(std::string const& table, std::string const& key)
{
    std::lock_guard const lock(this->mutex);
    this->tables[{ table, "" }][key] = { "", ++this->version, true };
    this->history.emplace_back(now_s(), this->version);
    this->changed.notify_all();
    return this->version;
}

void Store::touch()
{
    std::lock_guard const lock(this->mutex);
    this->history.emplace_back(now_s(), ++this->version);
}

uint64_t Store::oldest_known()
{
    uint64_t oldest = 0;
    for (auto const& [at, changed_version] : this->history) {
        if (at < now_s() - history_s)
            oldest = changed_version;
    }
    return oldest;
}

void Store::turn_away(size_t index, bool is_turned_away)
{
    std::lock_guard const lock(this->mutex);
    this->turned_away[index] = is_turned_away;
    this->changed.notify_all();
}

bool Store::has_follower(size_t index, std::string const& table, double within_s)
{
    std::lock_guard const lock(this->mutex);
    auto const found = this->followed_at.find({ index, table });
    return found != this->followed_at.end() && now_s() - found->second <= within_s;
}

void Store::serve(size_t index, std::shared_ptr<Connection> const& connection)
{
    while (auto message = connection->read_message(60'000, false)) {
        if (!message->is_complete || !connection->send(this->handle(index, *message)))
            return;
    }
}

std::string Store::handle(size_t index, Message const& message)
{
    {
        std::lock_guard const lock(this->mutex);
        if (this->turned_away[index])
            return response(503, {}, "{}");
    }
    auto const target = message.target();
    auto const path = target.substr(0, target.find('?'));
    auto const query = query_of(target);
    if (path == "/rows-get")
        return this->rows_get(query);
    if (path == "/rows-parts")
        return this->rows_parts(query);
    if (path == "/rows-feed")
        return this->rows_feed(index, query);
    if (path == "/rows-tx")
        return this->rows_tx(message.body);
    return response(404, {}, "{}");
}

static std::string value_in(std::map<std::string, std::string> const& query, std::string const& name)
{
    auto const found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

static std::string json_response(std::string const& body)
{
    return response(200, { { "Content-Type", "application/json" } }, body);
}

std::string Store::rows_get(std::map<std::string, std::string> const& query)
{
    std::lock_guard const lock(this->mutex);
    auto const table = value_in(query, "table");
    auto const part = value_in(query, "part");
    std::string rows;
    for (auto const& [key, row] : this->tables[{ table, part }]) {
        if (!row.is_gone && key >= value_in(query, "from"))
            rows += (rows.empty() ? "" : ",") + row_text(table, part, key, row.value, row.version) + '}';
    }
    return json_response(
        R"({"rows":[)" + rows + R"(],"more":false,"ver":)" + std::to_string(this->version) + R"(,"now_ms":0})");
}

std::string Store::rows_parts(std::map<std::string, std::string> const& query)
{
    std::lock_guard const lock(this->mutex);
    std::string parts;
    for (auto const& [name, rows] : this->tables) {
        if (name.first == value_in(query, "table"))
            parts += (parts.empty() ? "\"" : ",\"") + name.second + '"';
    }
    return json_response(R"({"parts":[)" + parts + R"(],"more":false,"ver":)" + std::to_string(this->version) + '}');
}

std::string Store::rows_feed(size_t index, std::map<std::string, std::string> const& query)
{
    std::unique_lock lock(this->mutex);
    auto const table = value_in(query, "table");
    auto const after = std::strtoull(value_in(query, "after_rev").c_str(), nullptr, 10);
    auto const end = Clock::now() + std::chrono::milliseconds(std::atoi(value_in(query, "wait_ms").c_str()));
    this->followed_at[{ index, table }] = now_s();
    while (true) {
        if (this->turned_away[index])
            return response(503, {}, "{}");
        if (after < this->oldest_known())
            return response(410, {}, "{}");
        std::map<uint64_t, std::string> changes;
        for (auto const& [name, rows] : this->tables) {
            if (name.first != table)
                continue;
            for (auto const& [key, row] : rows) {
                if (row.version > after)
                    changes[row.version] += (changes[row.version].empty() ? "" : ",")
                        + row_text(table, name.second, key, row.value, row.version)
                        + (row.is_gone ? ",\"gone\":true}" : "}");
            }
        }
        if (!changes.empty() || Clock::now() >= end) {
            std::string rows;
            for (auto const& [changed_at, text] : changes)
                rows += (rows.empty() ? "" : ",") + text;
            return json_response(
                R"({"rows":[)" + rows + R"(],"ver":)" + std::to_string(this->version) + R"(,"now_ms":0})");
        }
        this->changed.wait_until(lock, end);
    }
}

/// Returns the text of the field `name` in a flat JSON object; enough for what hosts write.
static std::string text_field(std::string const& object, std::string const& name)
{
    auto const at = object.find('"' + name + "\":\"");
    if (at == std::string::npos)
        return {};
    auto const begin = at + name.size() + 4;
    std::string text;
    for (size_t i = begin; i < object.size() && object[i] != '"'; ++i) {
        if (object[i] == '\\')
            ++i;
        text += object[i];
    }
    return text;
}

std::string Store::rows_tx(std::string const& body)
{
    std::lock_guard const lock(this->mutex);
    auto const apply = [&](std::string const& list, bool is_put) {
        auto const at = body.find('"' + list + "\":[");
        if (at == std::string::npos)
            return;
        auto const end = body.find(']', at);
        for (auto begin = body.find('{', at); begin != std::string::npos && begin < end;
             begin = body.find('{', begin + 1)) {
            auto const object = body.substr(begin, body.find('}', begin) - begin);
            this->tables[{ text_field(object, "table"), text_field(object, "part") }][text_field(object, "key")]
                = { is_put ? from_base64(text_field(object, "value")) : "", this->version, !is_put };
        }
    };
    if (body.find("expected_rev") != std::string::npos)
        return response(412, {}, R"({"rows":[]})");
    this->history.emplace_back(now_s(), ++this->version);
    apply("put", true);
    apply("remove", false);
    this->changed.notify_all();
    return json_response(R"({"ver":)" + std::to_string(this->version) + R"(,"now_ms":0})");
}

// --- backend servers

std::string configuration(
    int version, std::vector<Route> const& routes, std::vector<ServiceEntry> const& services, int max_header_bytes)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (auto const& route : routes) {
        text += (&route == &routes.front() ? "" : ",") + (R"({"name":")" + route.name) + R"(","host":")" + caller_host
            + R"(","path_prefix":")" + route.path_prefix + R"(","kind":")" + route.kind + R"(","timeout_ms":)"
            + std::to_string(route.timeout_ms) + R"(,"goal_ms":)" + std::to_string(route.goal_ms)
            + R"(,"priority":1,"service":")" + route.service + R"(","max_attempts":)"
            + std::to_string(route.max_attempts) + R"(,"public":false)"
            + (route.kind == "streaming" ? R"(,"sticky":true,"resumable":false,"gap_aim_ms":180})" : "}");
    }
    text += R"(],"services":[)";
    for (auto const& service : services) {
        text += (&service == &services.front() ? "" : ",") + (R"({"name":")" + service.name)
            + R"(","health_path":"/health","max_conns":442,"protocol":"h1","tls":false)"
            + (service.is_engine
                    ? R"(,"engine":{"slots":64,"kv_capacity":34545,"kv_token_bytes":18432,"link_mbps":2700.0,"moves":true,)"
                      R"("backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}})"
                    : "}");
    }
    return text + R"(],"limits":{"max_header_bytes":)" + std::to_string(max_header_bytes)
        + R"(,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":")"
        + caller_tenant + R"(","api_keys":[")" + caller_key + R"("],"priority":1}]})";
}

std::vector<std::pair<std::string, std::string>> caller_headers(std::string const& attempt, int deadline_ms)
{
    return { { "Host", caller_host }, { "Lilactiller-Attempt-Id", attempt },
        { "Lilactiller-Deadline-Ms", std::to_string(deadline_ms) }, { "Api-Key", caller_key } };
}

std::vector<std::pair<std::string, std::string>> answer_headers(Message const& message)
{
    return { { "Lilactiller-Attempt-Id", message.header("Lilactiller-Attempt-Id") },
        { "Lilactiller-Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1" } };
}

Runner::Runner(Store& store, std::string id, std::string service, std::string zone, std::string const& ip, int slots,
    Handler handler)
    : id(std::move(id))
    , service(std::move(service))
    , zone(std::move(zone))
    , store(store)
    , slots(slots)
    , handler(std::move(handler))
{
    this->listener = std::make_unique<Listener>(
        ip, [this](std::shared_ptr<Connection> const& connection) { this->serve(connection); });
}

void Runner::register_entry(std::string const& state)
{
    this->store.put("servers", this->id,
        R"({"service":")" + this->service + R"(","addr":")" + this->address() + R"(","zone":")" + this->zone
            + R"(","version":"v1","slots":)" + std::to_string(this->slots) + R"(,"state":")" + state
            + R"(","cold_left_ms":0,"call_seq":0})");
}

void Runner::remove_entry() { this->store.remove("servers", this->id); }

void Runner::stop() { this->listener->stop(); }

std::vector<Run> Runner::runs()
{
    std::lock_guard const lock(this->mutex);
    return this->all_runs;
}

size_t Runner::run_count() { return this->runs().size(); }

void Runner::add_run(Message const& message)
{
    std::lock_guard const lock(this->mutex);
    this->all_runs.push_back({ message.header("Lilactiller-Attempt-Id"), now_s() });
}

void Runner::serve(std::shared_ptr<Connection> const& connection)
{
    if (int const rate = this->read_rate)
        connection->read_slowly(rate);
    while (auto message = connection->read_message(60'000, false)) {
        if (!message->is_complete)
            return;
        auto const expected = message->header("Lilactiller-Target-Instance");
        if (!expected.empty() && expected != this->id) {
            connection->send(response(421, { { "Lilactiller-Instance-Id", this->id } }));
            continue;
        }
        this->handler(*this, *message, *connection);
    }
}

// --- the processes of the product

std::string work_folder()
{
    auto const* folder = std::getenv("WORK");
    return folder ? folder : "/tmp";
}

bool has_trouble()
{
    auto const* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

Host::Host(HostSettings host_settings, std::string platform)
    : name(host_settings.name)
    , settings(std::move(host_settings))
    , platform_address(std::move(platform))
{
    auto const& ip = this->settings.ip;
    this->callers_address = ip + ':' + std::to_string(free_port(ip));
    this->readiness_address = ip + ':' + std::to_string(free_port(ip));
    this->peer_address = ip + ':' + std::to_string(free_port(ip));
    this->settings_path = work_folder() + '/' + this->name + ".yaml";
    std::ofstream file(this->settings_path);
    file << "host:\n  name: \"" << this->name << "\"\n  failure_domain: \"" << this->settings.zone
         << "\"\n  callers_listen: \"" << this->callers_address << "\"\n  readiness_listen: \""
         << this->readiness_address << "\"\n  peer_listen: \"" << this->peer_address << "\"\n  platform: \""
         << this->platform_address << "\"\n  cores: \"1\"\n  cpu_share: \"0.25\"\n  link_megabits: \"1000.0\"\n"
         << "  memory_megabytes: \"" << this->settings.memory_megabytes << "\"\n  stop_grace: \"8s\"\n"
         << "backends:\n  drain_time: \"2000ms\"\n  list_recovery_time: 2s\nregions:\n";
    for (auto const& zone : this->settings.zones)
        file << "  \"" << zone << "\": \"sofia\"\n";
    file << "retries:\n  ratio: \"0.2\"\n  allowance: \"56\"\n  window: \"10s\"\n";
}

Host::~Host() { this->stop(); }

void Host::start()
{
    auto const* program = std::getenv("HOST_SERVER");
    std::string const path = program ? program : "target/platform/HostServer";
    auto const argument = "--settings=" + this->settings_path;
    auto const log = work_folder() + '/' + this->name + ".log";
    int const process_id = ::fork();
    if (process_id == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl(path.c_str(), path.c_str(), argument.c_str(), nullptr);
        ::_exit(127);
    }
    this->process = process_id;
    record("started " + this->name + " for callers at " + this->callers_address);
}

void Host::signal(int number) const
{
    if (this->process > 0)
        ::kill(this->process, number);
}

bool Host::is_running()
{
    if (this->process <= 0)
        return false;
    int status = 0;
    if (::waitpid(this->process, &status, WNOHANG) != this->process)
        return true;
    this->process = 0;
    record(this->name
        + (WIFSIGNALED(status) ? " was ended by signal " + std::to_string(WTERMSIG(status))
                               : " exited with status " + std::to_string(WEXITSTATUS(status))));
    return false;
}

bool Host::is_ready()
{
    auto connection = Connection::open(this->readiness_address, 500);
    if (!connection || !connection->send(request("GET", "/ready", { { "Host", "x" } })))
        return false;
    auto const answer = connection->read_message(1000, true);
    return answer && answer->status() == 200;
}

double Host::memory_megabytes() const
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

void Host::stop()
{
    if (this->process <= 0)
        return;
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
    this->process = 0;
}

}
