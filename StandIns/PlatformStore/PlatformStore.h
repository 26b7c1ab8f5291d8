/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/CallerServer.h>
#include <boost/json.hpp>
#include <list>
#include <map>

namespace StandIns {

/// Simulates the part of the platform's metadata store (see PROTOCOL) that hosts use: GET /rows-get, GET /rows-feed
/// with long polling, and POST /rows-tx. Runs on its owner's event loop. Supports fault injection.
class PlatformStore {
public:
    enum class Mode : u8 {
        Serving,
        /// Accepts connections and requests, but never responds.
        Silent,
        /// Responds to every request with status 503.
        Busy,
    };

    PlatformStore(Http::asio::io_context&, Http::tcp::endpoint);

    void put(std::string const& table, std::string const& key, std::string const& value);
    /// Writes a row whose value is not in base64, as all values have to be.
    void put_undecodable(std::string const& table, std::string const& key);
    void remove(std::string const& table, std::string const& key);
    [[nodiscard]] std::map<std::string, std::string> rows(std::string const& table) const;

    void set_mode(Mode);
    /// Discards all earlier changes. Requests for them, including waiting ones, get the status 410 (Gone).
    void discard_history();
    /// Makes the following responses state a version that is this many versions behind the latest one.
    void set_version_lag(u64 versions) { this->version_lag = versions; }

    [[nodiscard]] u64 call_count() const { return this->calls; }
    [[nodiscard]] u64 version() const { return this->latest_version; }

private:
    struct Row {
        std::string value;
        u64 version { 0 };
        bool gone { false };
        bool is_undecodable { false };
        /// The value as it is sent.
        [[nodiscard]] std::string encoded_value() const;
    };
    struct Waiting {
        std::shared_ptr<Http::Exchange> exchange;
        std::string table;
        u64 after { 0 };
        std::shared_ptr<AK::Timer> timer;
    };

    void handle_request(std::shared_ptr<Http::Exchange> const&);
    void send_rows(Http::Exchange&, std::string const& table, std::string const& from);
    void send_parts(Http::Exchange&, std::string const& table);
    void follow(std::shared_ptr<Http::Exchange> const&, std::string const& table, u64 after, u64 wait_milliseconds);
    bool conditions_hold(boost::json::object const& transaction);
    void commit(Http::Exchange&);
    bool send_changes(Http::Exchange&, std::string const& table, u64 after, bool allows_empty);
    void serve_waiting();
    static void send_response(Http::Exchange&, Http::Status, std::string body);

    Http::asio::io_context& loop;
    Mode mode { Mode::Serving };
    std::map<std::string, std::map<std::string, Row>> tables;
    u64 latest_version { 1 };
    u64 oldest_followed { 0 };
    u64 version_lag { 0 };
    u64 calls { 0 };
    std::list<Waiting> waiting;
    std::vector<std::shared_ptr<Http::Exchange>> unanswered;
    Http::CallerServer server;
};

}
