/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibDelivery/DispatchRecord.h>
#include <LibDelivery/TokenRelay.h>
#include <LibGateway/CallerWriter.h>
#include <LibGateway/GatewayLoop.h>
#include <LibGateway/GatewaySettings.h>

namespace Gateway {

/// Serves one generation on its connection thread: waits for the loop's decisions, relays tokens from the engine to the
/// caller, and resumes the stream if the connection to the engine breaks.
class GenerationSession {
public:
    GenerationSession(GatewayLoop&, GatewaySettings const&, CallerWriter&);

    /// Serves a new request until its final response.
    void serve(std::shared_ptr<GenerationCall> const&);
    /// Serves a caller that resumes a generation started by this gateway or another one.
    void serve_resumed(ResumeCall const&, Delivery::ResumeToken const&);

private:
    enum class RelayEnd : u8 {
        Finished,
        CallerDisconnected,
        /// The engine did not start the attempt.
        NotStarted,
        EngineLeaving,
        /// The engine has lost the generation or remains unreachable.
        Lost,
    };

    struct Source {
        GenerationId generation;
        Address address;
    };

    RelayEnd relay_new(GenerationCall&, Admitted const&);
    RelayEnd relay_items(Source const&, std::unique_ptr<EngineStream>);
    RelayEnd forward(Source const&, EngineToken const&);
    std::variant<std::unique_ptr<EngineStream>, StreamFailure> reattach(Source const&);
    void measure_token(bool is_first);
    void offer_resume(Admitted const&, std::string const& execution);
    bool retry_on_another_engine(std::shared_ptr<GenerationCall> const&, Admitted const&, RelayEnd);
    void fail_lost();

    GatewayLoop& gateway;
    GatewaySettings const& settings;
    CallerWriter& writer;
    Delivery::TokenRelay relay { AttemptNumber(1) };
    // A generation may be retried on another engine. Its outcome is "not run" only if no attempt can have run.
    Delivery::DispatchRecord record { Delivery::Repeatability::Repeatable };
    u64 attachment { 0 };
    Instant last_token_at;
    GenerationCall* call { nullptr };
    Admitted const* admitted { nullptr };
};

}
