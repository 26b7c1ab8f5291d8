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
    /// Turns the call away, saying that it was not started.
    Reject,
    /// Runs the call, then hangs up without an answer.
    LoseResponse,
    /// Hangs up without running the call.
    CloseBeforeRun,
};

/// A plain service that counts its executions. Any path but /control/ runs; the body that comes back names the path.
/// For tests: /control/fault?mode=none|turn_away|lose_answer|hang_up_before&count=N (0 for ever), and
/// /control/history, a line for each execution: call, idempotency key, path.
class FakeService {
public:
    /// Executions are also appended to the file at `history_path`, if one is named, before they are answered.
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
