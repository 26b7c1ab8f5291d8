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
    /// Responds with status 503 without carrying out the request.
    Unavailable,
    /// Carries out the request, then closes the connection without a response.
    LoseResponses,
    /// Closes the connection immediately, as if the link were down.
    Disconnect,
    /// Delays each request, then serves it.
    Slow,
};

/// Simulates the platform's table service, object store and host list. Each failure domain has its own address, so that
/// its link can fail independently. Paths: /table/row, /table/scan, /table/commit, /object/NAME and /hosts; tests also
/// use /control/fault?mode=none|unavailable|lose_answers|cut|slow&count=N (N requests; 0 for no limit), /control/hosts
/// (PUT the list) and /control/counts.
class FakePlatform {
public:
    /// `host_list_lag` is the delay until a new host list is served.
    FakePlatform(std::vector<Address> const& listen, Duration host_list_lag);

    /// Does the same as /control/fault, for tests that run in the same process.
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
