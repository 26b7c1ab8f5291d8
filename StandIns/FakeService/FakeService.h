/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <StandIns/Common/HttpStandIn.h>
#include <map>
#include <mutex>
#include <vector>

namespace StandIns {

enum class ServiceFault : u8 {
    None,
    /// Rejects the call and reports that it was not started.
    Reject,
    /// Runs the call, then closes the connection without a response.
    LoseResponse,
    /// Closes the connection without running the call.
    CloseBeforeRun,
};

/// A plain service that records its executions. A request to any path outside /control/ counts as an execution; the
/// response body contains the path. For tests: /control/fault?mode=none|turn_away|lose_answer|hang_up_before&count=N (N
/// requests; 0 for no limit), and /control/history, which returns one line per execution: call, idempotency key, path.
class FakeService {
public:
    /// If `history_path` is not empty, each execution is appended to that file before the response is sent.
    explicit FakeService(Address const& listen, std::string name = "service", std::string history_path = "");

    [[nodiscard]] Address address() const { return this->server->address(); }
    void set_fault(ServiceFault, u64 count = 0);
    std::string history();
    u64 execution_count();

private:
    void serve(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    ServiceFault consume_fault();

    std::string name;
    std::string history_path;
    std::mutex mutex;
    ServiceFault fault { ServiceFault::None };
    u64 remaining { 0 };
    std::vector<std::string> executions;
    std::unique_ptr<HttpStandIn> server;
};

}
