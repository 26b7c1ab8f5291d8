// SPDX-License-Identifier: BSD-2-Clause
// Stand-ins for the scripts of the second review: the platform's store, model runners, plain runners, clients, and the
// start and stop of HostServer processes. Header only; needs Boost.JSON. A thread for each connection; one lock, which
// a thread holds except while it waits.
#pragma once

#include <arpa/inet.h>
#include <boost/json/src.hpp>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lab {

namespace json = boost::json;
using std::string;

/// Held by every thread except while it waits.
inline std::mutex everything;
inline auto const began = std::chrono::steady_clock::now();
inline double now()
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count();
}
inline FILE* record_file = nullptr;
inline bool with_trouble = true;

__attribute__((format(printf, 1, 2))) inline void rec(char const* format, ...)
{
    if (!record_file)
        record_file = stdout;
    std::fprintf(record_file, "%9.1f ms  ", now());
    va_list args;
    va_start(args, format);
    std::vfprintf(record_file, format, args);
    va_end(args);
    std::fputc('\n', record_file);
    std::fflush(record_file);
}

/// Runs something that waits without the lock.
template<typename Wait>
auto unlocked(Wait wait)
{
    everything.unlock();
    auto result = wait();
    everything.lock();
    return result;
}

inline void sleep_ms(double ms)
{
    unlocked([ms] {
        std::this_thread::sleep_for(std::chrono::microseconds(static_cast<long long>(ms * 1000)));
        return 0;
    });
}

inline void spawn(std::function<void()> work)
{
    std::thread([work = std::move(work)] {
        std::unique_lock<std::mutex> lock(everything);
        work();
    }).detach();
}

// --- HTTP

struct Message {
    string first;
    std::vector<std::pair<string, string>> fields;
    string body;

    [[nodiscard]] string get(string const& name) const
    {
        for (auto const& [key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    [[nodiscard]] bool has(string const& name) const
    {
        for (auto const& [key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return true;
        }
        return false;
    }
    [[nodiscard]] string method() const { return first.substr(0, first.find(' ')); }
    [[nodiscard]] string target() const
    {
        auto const a = first.find(' ');
        auto const b = first.find(' ', a + 1);
        return first.substr(a + 1, b - a - 1);
    }
    [[nodiscard]] int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

struct Stream {
    int socket { -1 };
    string buffer {};
    int last_error { 0 };

    explicit Stream(int socket)
        : socket(socket)
    {
        int const on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Stream(Stream const&) = delete;
    Stream& operator=(Stream const&) = delete;
    ~Stream() { ::close(socket); }

    bool fill()
    {
        char bytes[16384];
        auto const count = unlocked([&] { return ::recv(socket, bytes, sizeof bytes, 0); });
        if (count <= 0) {
            last_error = count < 0 ? errno : 0;
            return false;
        }
        buffer.append(bytes, static_cast<size_t>(count));
        return true;
    }
    bool line(string& out)
    {
        for (;;) {
            auto const end = buffer.find("\r\n");
            if (end != string::npos) {
                out = buffer.substr(0, end);
                buffer.erase(0, end + 2);
                return true;
            }
            if (!fill())
                return false;
        }
    }
    bool exactly(size_t count, string& out)
    {
        while (buffer.size() < count) {
            if (!fill())
                return false;
        }
        out += buffer.substr(0, count);
        buffer.erase(0, count);
        return true;
    }
    bool head(Message& message)
    {
        message = {};
        if (!line(message.first))
            return false;
        string text;
        for (;;) {
            if (!line(text))
                return false;
            if (text.empty())
                return true;
            auto const colon = text.find(':');
            auto value = text.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.fields.emplace_back(text.substr(0, colon), value);
        }
    }
    /// Reads a chunked body; `on_piece` gets each chunk. Returns whether the last chunk came.
    bool chunks(std::function<void(string const&)> on_piece)
    {
        for (;;) {
            string size;
            if (!line(size))
                return false;
            auto const count = std::strtoul(size.c_str(), nullptr, 16);
            string piece;
            string end;
            if (count > 0) {
                if (!exactly(count, piece))
                    return false;
            }
            if (!line(end))
                return false;
            if (count == 0)
                return true;
            on_piece(piece);
        }
    }
    bool body(Message& message)
    {
        if (strcasecmp(message.get("Transfer-Encoding").c_str(), "chunked") == 0) {
            std::function<void(string const&)> const append
                = [&message](string const& piece) { message.body += piece; };
            return chunks(append);
        }
        auto const length = std::strtoul(message.get("Content-Length").c_str(), nullptr, 10);
        return exactly(length, message.body);
    }
    bool write(string const& text)
    {
        size_t done = 0;
        while (done < text.size()) {
            auto const count
                = unlocked([&] { return ::send(socket, text.data() + done, text.size() - done, MSG_NOSIGNAL); });
            if (count <= 0)
                return false;
            done += static_cast<size_t>(count);
        }
        return true;
    }
    /// Ends both directions; the descriptor is given back with the object.
    void close() { ::shutdown(socket, SHUT_RDWR); }
    void reset()
    {
        linger const now_and_hard { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &now_and_hard, sizeof now_and_hard);
        // A duplicate of nothing: connecting to no address resets the connection.
        sockaddr none {};
        none.sa_family = AF_UNSPEC;
        ::connect(socket, &none, sizeof none);
        ::shutdown(socket, SHUT_RDWR);
    }
};

using Fields = std::vector<std::pair<string, string>>;

inline string response(int status, Fields const& fields, string const& body)
{
    static std::map<int, string> const reasons { { 200, "OK" }, { 400, "Bad Request" }, { 404, "Not Found" },
        { 409, "Conflict" }, { 410, "Gone" }, { 412, "Precondition Failed" }, { 421, "Misdirected Request" },
        { 500, "Internal Server Error" }, { 503, "Service Unavailable" } };
    auto const found = reasons.find(status);
    string text
        = "HTTP/1.1 " + std::to_string(status) + ' ' + (found == reasons.end() ? "Status" : found->second) + "\r\n";
    for (auto const& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline string plain(int status) { return response(status, Fields {}, ""); }
inline string json_answer(json::object const& body)
{
    return response(200, Fields { { "Content-Type", "application/json" } }, json::serialize(body));
}
inline string misdirected(string const& id, string const& attempt)
{
    return response(421, Fields { { "Lilactiller-Instance-Id", id }, { "Lilactiller-Attempt-Id", attempt } }, "");
}
inline string not_run(string const& attempt)
{
    return response(503, Fields { { "Lilactiller-Not-Executed", "1" }, { "Lilactiller-Attempt-Id", attempt } }, "");
}

inline sockaddr_in socket_address(string const& address)
{
    auto const colon = address.rfind(':');
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<unsigned short>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}
/// A listening TCP socket on a free port of `ip`, and its address.
inline std::pair<int, string> listen_on(string const& ip, int type = SOCK_STREAM)
{
    int const socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    auto address = socket_address(ip + ":0");
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0)
        throw std::runtime_error("no free port at " + ip);
    if (type == SOCK_STREAM)
        ::listen(socket, 512);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return { socket, ip + ':' + std::to_string(ntohs(address.sin_port)) };
}

/// A listening server on a free port. `handle` returns whether the connection is kept.
struct Server : std::enable_shared_from_this<Server> {
    using Handler = std::function<bool(std::shared_ptr<Stream>, Message)>;

    Server(string const& ip, Handler handler)
        : handle(std::move(handler))
    {
        std::tie(acceptor, address) = listen_on(ip);
    }
    void start()
    {
        spawn([self = shared_from_this()] { self->accept(); });
    }
    /// Closes everything, as the end of a process does.
    void stop()
    {
        stopped = true;
        ::shutdown(acceptor, SHUT_RDWR);
        ::close(acceptor);
        for (auto const& known : open) {
            if (auto stream = known.lock())
                stream->close();
        }
        open.clear();
    }
    void accept()
    {
        while (!stopped) {
            int const listening = acceptor;
            int const socket = unlocked([&] { return ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC); });
            if (socket < 0 || stopped) {
                if (socket >= 0)
                    ::close(socket);
                return;
            }
            auto stream = std::make_shared<Stream>(socket);
            open.remove_if([](auto const& known) { return known.expired(); });
            open.push_back(stream);
            spawn([self = shared_from_this(), stream] { self->serve(stream); });
        }
    }
    void serve(std::shared_ptr<Stream> stream)
    {
        Message message;
        while (stream->head(message) && stream->body(message)) {
            if (!handle(stream, message))
                break;
        }
        stream->close();
    }

    int acceptor { -1 };
    string address;
    bool stopped { false };
    Handler handle;
    std::list<std::weak_ptr<Stream>> open;
};

// --- the platform's store

inline string base64(string const& bytes)
{
    static char const* const signs = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (size_t k = 0; k < 3; ++k)
            value = value << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? signs[value >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

struct Store {
    struct Row {
        string value; // base64
        unsigned long long ver { 0 };
        bool gone { false };
    };
    /// Answers of the store are held back while this is set, and calls get nothing.
    bool silent { false };
    bool busy { false };
    std::map<string, std::map<std::pair<string, string>, Row>> tables; // by part and key
    unsigned long long version { 1 };
    std::shared_ptr<Server> server;

    explicit Store(string const& ip)
    {
        server = std::make_shared<Server>(ip, [this](std::shared_ptr<Stream> stream, Message message) {
            return answer(std::move(stream), std::move(message));
        });
        server->start();
    }
    void put(string const& table, string const& key, string const& value, string const& part = {})
    {
        tables[table][{ part, key }] = { base64(value), ++version, false };
    }
    void remove(string const& table, string const& key)
    {
        auto const found = tables[table].find({ "", key });
        if (found != tables[table].end() && !found->second.gone)
            found->second = { "", ++version, true };
    }
    static std::map<string, string> query_of(string const& target)
    {
        std::map<string, string> query;
        auto rest = target.find('?') == string::npos ? string() : target.substr(target.find('?') + 1);
        while (!rest.empty()) {
            auto const item = rest.substr(0, rest.find('&'));
            rest.erase(0, item.size() + 1);
            string value;
            auto const raw = item.find('=') == string::npos ? string() : item.substr(item.find('=') + 1);
            for (size_t i = 0; i < raw.size(); ++i) {
                if (raw[i] == '%' && i + 2 < raw.size()) {
                    value += static_cast<char>(std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    value += raw[i];
                }
            }
            query[item.substr(0, item.find('='))] = value;
        }
        return query;
    }
    json::object row_of(string const& table, std::pair<string, string> const& name, Row const& row) const
    {
        json::object object { { "table", table }, { "part", name.first }, { "key", name.second },
            { "value", row.value }, { "ver", row.ver } };
        if (row.gone)
            object["gone"] = true;
        return object;
    }
    static json::object page(char const* name, json::array const& items)
    {
        return { { name, items }, { "more", false } };
    }
    string finish(json::object object) const
    {
        object["ver"] = version;
        object["now_ms"] = static_cast<long long>(now());
        return response(200, { { "Content-Type", "application/json" } }, json::serialize(object));
    }
    bool answer(std::shared_ptr<Stream> stream, Message message)
    {
        while (silent)
            sleep_ms(20);
        if (busy)
            return stream->write(plain(503));
        sleep_ms(3);
        auto const target = message.target();
        auto query = query_of(target);
        auto const path = target.substr(0, target.find('?'));
        auto& table = tables[query["table"]];
        if (path == "/rows-get") {
            json::array rows;
            for (auto const& [name, row] : table) {
                if (!row.gone && name.first == query["part"] && name.second >= query["from"])
                    rows.push_back(row_of(query["table"], name, row));
            }
            return stream->write(finish(page("rows", rows)));
        }
        if (path == "/rows-parts") {
            std::set<string> parts;
            for (auto const& [name, row] : table) {
                if (!row.gone)
                    parts.insert(name.first);
            }
            json::array names(parts.begin(), parts.end());
            return stream->write(finish(page("parts", names)));
        }
        if (path == "/rows-feed") {
            auto const after = std::strtoull(query["after_rev"].c_str(), nullptr, 10);
            auto const until = now() + std::strtod(query["wait_ms"].c_str(), nullptr);
            for (;;) {
                std::map<unsigned long long, json::object> changed;
                for (auto const& [name, row] : table) {
                    if (row.ver > after)
                        changed[row.ver] = row_of(query["table"], name, row);
                }
                if (!changed.empty() || now() >= until) {
                    json::array rows;
                    for (auto const& [ver, row] : changed)
                        rows.push_back(row);
                    while (silent)
                        sleep_ms(20);
                    return stream->write(finish(page("rows", rows)));
                }
                sleep_ms(5);
            }
        }
        if (path == "/rows-tx") {
            auto const body = json::parse(message.body).as_object();
            if (auto const* puts = body.if_contains("put")) {
                for (auto const& item : puts->as_array()) {
                    auto const& row = item.as_object();
                    tables[string(row.at("table").as_string())]
                          [{ string(row.at("part").as_string()), string(row.at("key").as_string()) }]
                        = { string(row.at("value").as_string()), ++version, false };
                }
            }
            if (auto const* removed = body.if_contains("remove")) {
                for (auto const& item : removed->as_array()) {
                    auto const& row = item.as_object();
                    auto& rows = tables[string(row.at("table").as_string())];
                    auto const found
                        = rows.find({ string(row.at("part").as_string()), string(row.at("key").as_string()) });
                    if (found != rows.end())
                        found->second = { "", ++version, true };
                }
            }
            return stream->write(finish(json::object()));
        }
        return stream->write(plain(404));
    }
};

// --- model runners

struct Engine;
inline std::map<string, Engine*> engines_by_address;
/// Called when a runner takes up a request with a copy: attempt, runner.
inline std::function<void(string const&, Engine&)> on_continued;
/// Called when a runner begins a run without a copy.
inline std::function<void(string const&, Engine&)> on_run;

struct Run {
    string attempt;
    int tokens_prompt { 0 };
    int total { 0 };
    int made { 0 };
    /// The runner works on it.
    bool working { true };
    /// Stopped by the order for the last copy.
    bool stopped { false };
    bool connection_closed { false };
    bool copying { false };
};

struct Engine {
    Store& store;
    string id;
    string service;
    string zone;
    int slots { 64 };
    double event_ms { 32 };
    /// Whether it drops a request when its connection closes. Most runners do.
    bool drops { true };
    /// The share of its requests that it fails with 500 at present.
    double failing { 0 };
    /// The share of its streams that it cuts off at present (and works on).
    std::function<bool(Run const&)> cuts;
    bool draining { false };
    double ends_at { 0 };
    int handles { 0 };
    int drain_ms { 2000 };
    std::map<string, std::shared_ptr<Run>> runs;
    std::map<string, int> copies;       // by IP:PORT/HANDLE, the events made
    std::map<string, string> handle_of; // by attempt
    std::mt19937 random;
    std::shared_ptr<Server> server;
    std::function<int(string const&)> total_of = [](string const&) { return 236; };
    int orders { 0 };
    int failed { 0 };
    int seen { 0 };

    Engine(Store& store, string const& ip, string id, string service, string zone, unsigned seed)
        : store(store)
        , id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
        , random(seed)
    {
        server = std::make_shared<Server>(ip, [this](std::shared_ptr<Stream> stream, Message message) {
            return answer(std::move(stream), std::move(message));
        });
        server->start();
        engines_by_address[address()] = this;
        put_row();
    }
    [[nodiscard]] string address() const { return server->address; }
    void put_row()
    {
        json::object const row { { "service", service }, { "addr", address() }, { "zone", zone }, { "version", "v1" },
            { "slots", slots }, { "state", draining ? "draining" : "ready" }, { "cold_left_ms", 0 },
            { "stage", "both" },
            { "models",
                json::array { json::object { { "name", "m" }, { "version", 1 }, { "adapters", json::array {} } } } },
            { "call_seq", orders } };
        store.put("servers", id, json::serialize(row));
    }
    [[nodiscard]] int working() const
    {
        int count = 0;
        for (auto const& [attempt, run] : runs)
            count += run->working ? 1 : 0;
        return count;
    }
    [[nodiscard]] bool works_on(string const& attempt) const
    {
        auto const found = runs.find(attempt);
        return found != runs.end() && found->second->working;
    }
    [[nodiscard]] int tokens() const
    {
        int sum = 0;
        for (auto const& [attempt, run] : runs)
            sum += run->working ? run->tokens_prompt + 4 * run->made : 0;
        return sum;
    }
    /// Says that it drains, and ends `linger` ms after drain_ms.
    void leave(double linger)
    {
        draining = true;
        ends_at = now() + drain_ms + linger;
        rec("runner %s says that it drains; it works on %d requests", id.c_str(), working());
        put_row();
        sleep_ms(drain_ms + linger);
        end();
    }
    void end()
    {
        rec("runner %s ends; it worked on %d requests", id.c_str(), working());
        for (auto& [attempt, run] : runs)
            run->working = false;
        server->stop();
        store.remove("servers", id);
    }
    /// Ends at once and says nothing; its entry lapses after three heartbeats.
    void crash()
    {
        rec("runner %s crashes; it worked on %d requests", id.c_str(), working());
        for (auto& [attempt, run] : runs)
            run->working = false;
        server->stop();
        spawn([this] {
            sleep_ms(3600);
            store.remove("servers", id);
        });
    }
    Fields stamped(Message const& request) const
    {
        return { { "Lilactiller-Attempt-Id", request.get("Lilactiller-Attempt-Id") },
            { "Lilactiller-Response-Stamp", "stamp." + id },
            { "Lilactiller-Server-Load", std::to_string(working()) + ",0," + std::to_string(slots) } };
    }
    bool fails_now()
    {
        ++seen;
        if (failing <= 0 || std::uniform_real_distribution<double>(0, 1)(random) >= failing)
            return false;
        ++failed;
        return true;
    }
    bool answer(std::shared_ptr<Stream> stream, Message request)
    {
        auto const target = request.target();
        if (target == "/report")
            return stream->write(json_answer(report()));
        if (target == "/kv-move")
            return move(stream, request);
        if (target.starts_with("/kv-handle/"))
            return stream->write(plain(200));
        return generate(stream, request);
    }
    [[nodiscard]] json::object report() const
    {
        json::object report { { "stage", "both" },
            { "models",
                json::array { json::object { { "name", "m" }, { "version", 1 }, { "adapters", json::array {} } } } },
            { "busy", false }, { "call_seq", orders }, { "waiting", 0 }, { "running", working() },
            { "kv_used", tokens() }, { "kv_total", 34545 }, { "handles", handles },
            { "state", draining ? "draining" : "ready" } };
        if (draining)
            report["leaves_ms"] = static_cast<int>(ends_at - now());
        return report;
    }
    bool move(std::shared_ptr<Stream> stream, Message request)
    {
        auto const order = json::parse(request.body).as_object();
        string const attempt(order.at("id").as_string());
        string const to(order.at("target_version").as_string());
        bool const last = order.contains("last") && order.at("last").as_bool();
        auto const what = "order to " + id + " to copy " + attempt + " to " + to + (last ? " (last)" : "");
        ++orders;
        if (fails_now()) {
            rec("%s: answered 500, nothing done", what.c_str());
            return stream->write(plain(500));
        }
        auto const found = runs.find(attempt);
        auto const other = engines_by_address.find(to);
        if (found == runs.end() || !found->second->working) {
            rec("%s: 404", what.c_str());
            return stream->write(plain(404));
        }
        auto run = found->second;
        if (run->copying) {
            rec("%s: 409", what.c_str());
            return stream->write(plain(409));
        }
        if (last) {
            run->working = false;
            run->stopped = true;
        }
        run->copying = true;
        auto const known = handle_of.contains(attempt);
        if (!known)
            handle_of[attempt] = "h" + std::to_string(++handles);
        auto const handle = handle_of[attempt];
        // 18,432 bytes a token at 2,700 Mbit/s.
        sleep_ms((known ? 100 : run->tokens_prompt) * 18432.0 * 8 / 2700e3);
        run->copying = false;
        if (other != engines_by_address.end() && !other->second->draining)
            other->second->copies[address() + '/' + handle] = run->made;
        rec("%s: 200, %d events made", what.c_str(), run->made);
        return stream->write(json_answer(copy_done(handle, run->made)));
    }
    static json::object copy_done(string const& handle, int made) { return { { "handle", handle }, { "made", made } }; }
    static void watch(std::shared_ptr<Stream> stream, std::shared_ptr<Run> run)
    {
        while (stream->fill()) { }
        run->connection_closed = true;
    }
    bool generate(std::shared_ptr<Stream> stream, Message request)
    {
        auto const attempt = request.get("Lilactiller-Attempt-Id");
        if (request.get("Lilactiller-Target-Instance") != id)
            return stream->write(misdirected(id, attempt));
        if (fails_now()) {
            rec("runner %s answers 500 to %s", id.c_str(), attempt.c_str());
            return stream->write(response(500, stamped(request), "failed"));
        }
        auto run = std::make_shared<Run>();
        run->attempt = attempt;
        run->tokens_prompt = std::atoi(request.get("Lilactiller-Token-Usage").c_str());
        run->total = total_of(attempt);
        auto const from = request.get("Kv-From");
        if (!from.empty()) {
            if (!copies.contains(from)) {
                rec("runner %s has no copy %s for %s: 503, not run", id.c_str(), from.c_str(), attempt.c_str());
                return stream->write(not_run(attempt));
            }
            copies.erase(from);
            run->made = std::atoi(request.get("Last-Event-Id").c_str());
            rec("runner %s goes on with %s from copy %s after event %d", id.c_str(), attempt.c_str(), from.c_str(),
                run->made);
            if (on_continued)
                on_continued(attempt, *this);
        } else {
            rec("runner %s begins %s", id.c_str(), attempt.c_str());
            if (on_run)
                on_run(attempt, *this);
        }
        runs[attempt] = run;
        string head = "HTTP/1.1 200 OK\r\n";
        for (auto const& [name, value] : stamped(request))
            head += name + ": " + value + "\r\n";
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        sleep_ms(from.empty() ? run->tokens_prompt / 14.0 : 5);
        stream->write(head);
        spawn([stream, run] { watch(stream, run); });
        bool is_cut = false;
        while (run->working && run->made < run->total) {
            sleep_ms(event_ms);
            if (!run->working)
                break;
            if (run->connection_closed && drops && !is_cut) {
                rec("runner %s drops %s, whose connection has closed", id.c_str(), attempt.c_str());
                run->working = false;
                break;
            }
            ++run->made;
            if (!run->connection_closed && !is_cut) {
                auto const event = "id: " + std::to_string(run->made) + "\ndata: " + attempt + " piece "
                    + std::to_string(run->made) + "\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", event.size());
                stream->write(size + event + "\r\n");
            }
            if (!is_cut && cuts && cuts(*run)) {
                rec("runner %s cuts the answer to %s off after event %d", id.c_str(), attempt.c_str(), run->made);
                is_cut = true;
                stream->close();
            }
        }
        bool const is_whole = run->made >= run->total;
        run->working = false;
        if (is_whole && !is_cut) {
            stream->write("0\r\n\r\n");
            rec("runner %s has made all of %s%s", id.c_str(), attempt.c_str(),
                run->connection_closed ? ", though its connection had closed" : "");
        }
        return false;
    }
};

// --- plain runners

/// Answers each request after `work_ms`.
struct PlainRunner {
    Store& store;
    string id;
    string service;
    string zone;
    double work_ms { 60 };
    int runs { 0 };
    std::shared_ptr<Server> server;

    PlainRunner(Store& store, string const& ip, string id, string service, string zone)
        : store(store)
        , id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
    {
        server = std::make_shared<Server>(ip, [this](std::shared_ptr<Stream> stream, Message request) {
            auto const attempt = request.get("Lilactiller-Attempt-Id");
            if (request.get("Lilactiller-Target-Instance") != this->id)
                return stream->write(misdirected(this->id, attempt));
            ++runs;
            sleep_ms(work_ms);
            Fields const fields { { "Lilactiller-Attempt-Id", attempt },
                { "Lilactiller-Response-Stamp", "stamp." + this->id }, { "Lilactiller-Server-Load", "1,0,6" } };
            return stream->write(response(200, fields, "answer to " + attempt));
        });
        server->start();
        json::object const row { { "service", this->service }, { "addr", server->address }, { "zone", this->zone },
            { "version", "v1" }, { "slots", 6 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "call_seq", 0 } };
        store.put("servers", this->id, json::serialize(row));
    }
};

// --- HostServers

struct Host {
    string name;
    string zone;
    string ip;
    string settings;
    string log;
    string callers;
    string readiness;
    pid_t pid { 0 };

    void start()
    {
        pid = fork();
        if (pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, 1);
        dup2(file, 2);
        auto const argument = "--settings=" + settings;
        execl("target/platform/HostServer", "target/platform/HostServer", argument.c_str(), nullptr);
        _exit(127);
    }
    void send(int signal) const
    {
        if (pid > 0)
            kill(pid, signal);
    }
    /// Returns the status of the process if it has ended.
    [[nodiscard]] std::optional<int> ended()
    {
        int status = 0;
        if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
            pid = 0;
            return status;
        }
        return {};
    }
    void end()
    {
        if (pid <= 0)
            return;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        pid = 0;
    }
};

/// An address with a port that was free just now.
inline string free_address(string const& ip, int type = SOCK_STREAM)
{
    auto const [socket, address] = listen_on(ip, type);
    ::close(socket);
    return address;
}

inline std::list<Host> hosts;

/// Settings as deploy/host.yaml has them on the tolls' sheet.
inline string settings_text(Host const& host, string const& store, string const& peers,
    std::vector<string> const& zones, string const& grace, string const& window)
{
    string text = "host:\n  name: \"" + host.name + "\"\n  failure_domain: \"" + host.zone + "\"\n  callers_listen: \""
        + host.callers + "\"\n  readiness_listen: \"" + host.readiness + "\"\n  metrics_listen: \""
        + free_address(host.ip) + "\"\n  peer_listen: \"" + peers + "\"\n  platform: \"" + store
        + "\"\n  cores: \"1\"\n  cpu_share: \"0.25\"\n  link_megabits: \"1000.0\"\n  memory_megabytes: \"110\"\n"
          "  stop_grace: \""
        + grace
        + "s\"\nbackends:\n  drain_time: \"2000ms\"\n  list_recovery_time: 2s\nrollouts:\n  exposure_share: \"\"\n"
          "  exposure_slack: \"\"\nregions:\n";
    for (auto const& zone : zones)
        text += "  \"" + zone + "\": \"sofia\"\n";
    return text + "\nretries:\n  ratio: \"0.2\"\n  allowance: \"56\"\n  window: \"" + window + "s\"\n";
}

/// Each host has a loopback address of its own, so that nobody else takes its ports while it is down.
inline Host& add_host(string const& directory, string const& name, string const& zone, string const& store,
    std::vector<string> const& zones)
{
    auto const ip = "127.0.1." + std::to_string(hosts.size() + 1);
    auto& host = hosts.emplace_back();
    host.name = name;
    host.zone = zone;
    host.ip = ip;
    host.callers = free_address(ip);
    host.readiness = free_address(ip);
    host.settings = directory + '/' + name + ".yaml";
    host.log = directory + '/' + name + ".log";
    std::ofstream(host.settings) << settings_text(host, store, free_address(ip, SOCK_DGRAM), zones, "8", "10");
    return host;
}

/// Null if the connection is not made.
inline std::shared_ptr<Stream> connect_to(string const& to)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = socket_address(to);
    int const failed
        = unlocked([&] { return ::connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof address); });
    auto stream = std::make_shared<Stream>(socket);
    return failed ? nullptr : stream;
}

/// The status of one GET /ready; 0 if there is no answer.
inline int ready(Host const& host)
{
    auto stream = connect_to(host.readiness);
    Message message;
    if (!stream)
        return 0;
    string const request = "GET /ready HTTP/1.1\r\nHost: platform\r\n\r\n";
    if (!stream->write(request))
        return 0;
    if (!stream->head(message))
        return 0;
    return message.status();
}

inline bool all_ready(double timeout_ms)
{
    auto const until = now() + timeout_ms;
    while (now() < until) {
        bool is_ready = true;
        for (auto const& host : hosts) {
            int const status = ready(host);
            is_ready = is_ready && status == 200;
        }
        if (is_ready)
            return true;
        sleep_ms(100);
    }
    return false;
}

// --- the end

inline string temporary_directory()
{
    string path = std::filesystem::temp_directory_path() / "lilac-review-XXXXXX";
    if (!mkdtemp(path.data()))
        std::exit(2);
    return path;
}

/// Runs the case and exits with its result: 0 held, 1 broken, 2 could not run.
inline int run_case(char const* record_path, double limit_ms, std::function<int(string const&)> body)
{
    record_file = std::fopen(record_path, "w");
    std::signal(SIGPIPE, SIG_IGN);
    auto const* trouble = std::getenv("TROUBLE");
    with_trouble = !trouble || string(trouble) != "0";
    rec("TROUBLE=%d", with_trouble ? 1 : 0);
    auto const directory = temporary_directory();
    std::unique_lock<std::mutex> lock(everything);
    std::optional<int> result;
    auto const until = now() + limit_ms;
    spawn([&] {
        try {
            result = body(directory);
        } catch (std::exception const& exception) {
            rec("error: %s", exception.what());
            result = 2;
        }
    });
    while (!result && now() < until)
        sleep_ms(50);
    if (!result)
        rec("the case takes too long");
    int const value = result.value_or(2);
    for (auto& host : hosts)
        host.end();
    if (std::getenv("KEEP_LOGS"))
        rec("logs are in %s", directory.c_str());
    else
        std::filesystem::remove_all(directory);
    rec("result %d (%s)", value, value == 0 ? "the rule held" : value == 1 ? "the rule was broken" : "could not run");
    std::fprintf(stdout, "%s\n", value == 0 ? "held" : value == 1 ? "broken" : "could not run");
    std::fflush(stdout);
    std::_Exit(value);
}

}
