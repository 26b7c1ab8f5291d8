/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins for the review's cases: the platform's store, backend servers, callers, and the processes of HostServer.
/// Blocking sockets, one thread per connection, no libraries besides the C++ runtime.
namespace Review {

using Clock = std::chrono::steady_clock;

/// Seconds since the program started.
double now_s();
void sleep_ms(int milliseconds);

/// Appends a line with the time to record.txt and prints it.
void record(std::string const& line);
void open_record(std::string const& path);

/// Waits until `condition` holds; returns false after `timeout_ms`.
bool wait_until(std::function<bool()> const& condition, int timeout_ms);

// --- HTTP/1.1

struct Message {
    /// Request line or status line.
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// The message ended as its framing says; false if the connection ended earlier.
    bool is_complete { false };
    /// The body has a Content-Length or is chunked.
    bool is_framed { false };

    [[nodiscard]] std::string header(std::string const& name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

/// A connected socket with a buffer of received bytes.
class Connection {
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(Connection const&) = delete;
    Connection& operator=(Connection const&) = delete;

    /// Returns null if no connection could be made.
    static std::shared_ptr<Connection> open(std::string const& address, int timeout_ms = 1000);

    bool send(std::string const& bytes);
    /// Reads a message. Returns nothing if the connection ended, or the time was over, before its head was complete.
    std::optional<Message> read_message(int timeout_ms, bool is_response);
    /// Whether the peer has closed its side.
    [[nodiscard]] bool peer_has_closed();
    /// Bytes that were received and belong to no message read so far.
    [[nodiscard]] std::string unread_bytes(int wait_ms);
    void close();
    /// Reads no more than this from now on.
    void read_slowly(int bytes_per_second) { this->read_rate = bytes_per_second; }

private:
    bool fill(int timeout_ms);

    int descriptor;
    std::string buffer;
    int read_rate { 0 };
};

std::string request(std::string const& method, std::string const& target,
    std::vector<std::pair<std::string, std::string>> const& headers, std::string const& body = {});
std::string response(
    int status, std::vector<std::pair<std::string, std::string>> const& headers, std::string const& body = {});

/// Accepts connections on a loopback address and runs `serve` for each in a thread of its own.
class Listener {
public:
    Listener(std::string const& ip, std::function<void(std::shared_ptr<Connection>)> serve);
    ~Listener();
    [[nodiscard]] std::string const& address() const { return this->bound_address; }
    /// Closes the listening socket and all connections, as the end of a process does.
    void stop();

private:
    int descriptor;
    std::string bound_address;
    std::function<void(std::shared_ptr<Connection>)> serve;
    std::atomic<bool> is_stopped { false };
    std::mutex mutex;
    std::vector<std::weak_ptr<Connection>> connections;
    std::thread acceptor;
};

/// Returns a port that is free for TCP and UDP on this address.
int free_port(std::string const& ip);

// --- the platform's store

/// Tables with versions and a feed, as PROTOCOL.md describes them. It keeps `history_s` of history: a call for changes
/// after a version that is older, and not the newest, gets 410. Each host has an address of its own, so that the store
/// can turn single hosts away.
class Store {
public:
    Store(std::string const& ip, size_t addresses);

    [[nodiscard]] std::string const& address(size_t index) const { return this->listeners[index]->address(); }
    uint64_t put(std::string const& table, std::string const& key, std::string const& value);
    uint64_t remove(std::string const& table, std::string const& key);
    /// A transaction that changes no row that anyone follows.
    void touch();
    /// From now on, answers 503 to every call at this address, or serves it again.
    void turn_away(size_t index, bool is_turned_away);
    /// Whether a call for changes of `table` came to this address in the last `within_s` seconds.
    bool has_follower(size_t index, std::string const& table, double within_s);

private:
    struct Row {
        std::string value;
        uint64_t version { 0 };
        bool is_gone { false };
    };

    void serve(size_t index, std::shared_ptr<Connection> const& connection);
    std::string handle(size_t index, Message const& message);
    std::string rows_get(std::map<std::string, std::string> const& query);
    std::string rows_parts(std::map<std::string, std::string> const& query);
    std::string rows_feed(size_t index, std::map<std::string, std::string> const& query);
    std::string rows_tx(std::string const& body);
    /// The newest version whose change is no longer in the history.
    uint64_t oldest_known();

    std::mutex mutex;
    std::condition_variable changed;
    /// By table and part, then by key.
    std::map<std::pair<std::string, std::string>, std::map<std::string, Row>> tables;
    uint64_t version { 1 };
    std::vector<std::pair<double, uint64_t>> history;
    std::vector<bool> turned_away;
    std::map<std::pair<size_t, std::string>, double> followed_at;
    std::vector<std::unique_ptr<Listener>> listeners;
};

// --- backend servers

/// A request that has reached a backend server.
struct Run {
    std::string attempt;
    double at { 0 };
};

/// A backend server with an entry in the store.
class Runner {
public:
    using Handler = std::function<void(Runner&, Message const&, Connection&)>;

    Runner(Store& store, std::string id, std::string service, std::string zone, std::string const& ip, int slots,
        Handler handler);

    void register_entry(std::string const& state = "ready");
    void remove_entry();
    /// Ends the process: closes the listening socket and all connections.
    void stop();
    [[nodiscard]] std::string const& address() const { return this->listener->address(); }
    [[nodiscard]] std::vector<Run> runs();
    [[nodiscard]] size_t run_count();
    /// Counts a request as run.
    void add_run(Message const&);
    /// From now on, new connections are read at this rate; 0 means as fast as possible.
    std::atomic<int> read_rate { 0 };

    std::string const id;
    std::string const service;
    std::string const zone;

private:
    void serve(std::shared_ptr<Connection> const& connection);

    Store& store;
    int slots;
    Handler handler;
    std::mutex mutex;
    std::vector<Run> all_runs;
    std::unique_ptr<Listener> listener;
};

struct Route {
    std::string name;
    std::string path_prefix;
    /// streaming, unsafe or safe.
    std::string kind;
    int timeout_ms { 1500 };
    int goal_ms { 300 };
    std::string service;
    int max_attempts { 1 };
};

struct ServiceEntry {
    std::string name;
    bool is_engine { false };
};

inline constexpr auto caller_host = "ficu95.example";
inline constexpr auto caller_key = "xd9dnn2ctnfzs989anu6";
inline constexpr auto caller_tenant = "huka270";

/// The operator's configuration in the form of PROTOCOL.md, with the limits and engines of btra-lilac.
std::string configuration(int version, std::vector<Route> const& routes, std::vector<ServiceEntry> const& services,
    int max_header_bytes = 16384);

/// The headers of a caller's request.
std::vector<std::pair<std::string, std::string>> caller_headers(std::string const& attempt, int deadline_ms);

/// The headers of a backend server's whole answer to `message`.
std::vector<std::pair<std::string, std::string>> answer_headers(Message const& message);

// --- the processes of the product

struct HostSettings {
    std::string name;
    std::string zone;
    std::string ip;
    std::vector<std::string> zones;
    int memory_megabytes { 110 };
};

/// A HostServer process, started with the command of the deploy file and settings of the form of deploy/host.yaml.
class Host {
public:
    Host(HostSettings settings, std::string platform);
    ~Host();

    void start();
    void signal(int number) const;
    /// Whether the process runs. Records how it ended.
    bool is_running();
    /// What the platform's load balancer sees at the readiness address.
    bool is_ready();
    [[nodiscard]] std::string const& address() const { return this->callers_address; }
    /// Resident memory in megabytes; 0 if the process does not run.
    double memory_megabytes() const;
    void stop();

    std::string const name;

private:
    HostSettings settings;
    std::string settings_path;
    std::string callers_address;
    std::string readiness_address;
    std::string peer_address;
    std::string platform_address;
    int process { 0 };
};

/// The folder for settings and logs of this run, from WORK.
std::string work_folder();
bool has_trouble();

}
