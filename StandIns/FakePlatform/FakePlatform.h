/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPlatform/MemoryTable.h>
#include <StandIns/Common/HttpStandIn.h>
#include <deque>
#include <mutex>
#include <vector>

namespace StandIns {

enum class PlatformFault : u8 {
    None,
    /// Answers 503 and does nothing.
    Unavailable,
    /// Does what is asked, then hangs up without an answer.
    LoseResponses,
    /// Hangs up at once, as when the link is cut.
    Disconnect,
    /// Holds each request for a while, then serves it.
    Slow,
};

/// The platform's table service, object store and host list. Each failure domain gets an address of its own, so that
/// its link can fail alone. Paths: /table/row, /table/scan, /table/commit, /object/NAME, /hosts; and for tests
/// /control/fault?mode=none|unavailable|lose_answers|cut|slow&count=N (0 for ever), /control/hosts (PUT the list) and
/// /control/counts.
class FakePlatform {
public:
    /// `host_list_lag`: how long a new host list takes to show.
    FakePlatform(std::vector<Address> const& listen, Duration host_list_lag);

    /// For use in the same process as a test.
    void set_fault(size_t link, PlatformFault fault, u64 count = 0);
    void set_hosts(std::string const& json);
    [[nodiscard]] Address address(size_t link) const { return this->links[link]->server->address(); }
    [[nodiscard]] Platform::MemoryTable& contents() { return this->table; }

private:
    struct Link {
        PlatformFault fault { PlatformFault::None };
        u64 remaining { 0 };
        std::unique_ptr<HttpStandIn> server;
    };

    void serve(Link&, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void serve_control(Link&, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void serve_data(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&, bool loses_response);
    std::pair<int, std::string> handle(std::string const& path, Poco::Net::HTTPServerRequest&);
    std::string hosts_of(std::string const& failure_domain);
    PlatformFault consume_fault(Link&);

    Platform::MemoryTable table;
    std::mutex mutex;
    Duration host_list_lag;
    std::deque<std::pair<Instant, std::string>> host_lists;
    u64 reads { 0 };
    u64 writes { 0 };
    std::vector<std::unique_ptr<Link>> links;
};

}
