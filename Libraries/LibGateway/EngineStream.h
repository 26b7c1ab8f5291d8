/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Identifiers.h>
#include <LibPlatform/BlockingExchange.h>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Gateway {

/// A placement of a generation on an engine, granted by a router.
struct EnginePlacement {
    EngineId engine;
    Address address;
    AttemptNumber attempt;
    int priority { 0 };
};

struct EngineStart {
    GenerationId generation;
    AttemptNumber attempt;
    std::string model;
    std::string adapter;
    std::string prompt;
    u64 maximum_output_tokens { 0 };
    int priority { 0 };
    u64 prefix_hash { 0 };
};

struct EngineToken {
    AttemptNumber attempt;
    std::string execution;
    u64 offset { 0 };
    std::string text;
};

struct EngineFinished {
    u64 token_count { 0 };
};

enum class StreamFailure : u8 {
    /// The request did not reach the engine, or the engine reported that it did not start it.
    NotStarted,
    /// The engine rejected the request without starting it, because it is leaving.
    Leaving,
    /// The generation is not, or no longer, known to the engine, or the engine has fenced out this attempt.
    Unknown,
    /// The connection ended or stalled for too long. The generation may still be running.
    Broken,
};

using StreamItem = std::variant<EngineToken, EngineFinished, StreamFailure>;

/// A connection to an engine that delivers the tokens of one generation. Used by one connection thread; calls block.
class EngineStream {
public:
    /// Requests the engine to start a generation. Failures: NotStarted, Leaving, Unknown if fenced out, Broken.
    static std::variant<std::unique_ptr<EngineStream>, StreamFailure> start(
        Address const&, EngineStart const&, Duration timeout);
    /// Attaches to a running or completed generation, starting at `next_offset`. Failures: NotStarted if the connection
    /// cannot be established, Unknown, Broken.
    static std::variant<std::unique_ptr<EngineStream>, StreamFailure> resume(
        Address const&, GenerationId const&, AttemptNumber, u64 next_offset, Duration timeout);

    /// Waits for the next token or the end. Returns Broken if no data was received for the timeout given to start() or
    /// resume().
    StreamItem next();
    /// Sequence number of this stream among those attached to the generation. The engine ignores a cancellation from an
    /// earlier stream.
    [[nodiscard]] u64 attachment() const { return this->attachment_number; }

private:
    EngineStream(Http::tcp::endpoint const&, Duration timeout);
    static std::variant<std::unique_ptr<EngineStream>, StreamFailure> open(
        Address const&, std::string const& method, std::string const& path, std::string const& body, Duration timeout);

    /// Sends the request and waits for the head of the response. Returns why there is no stream, if there is none.
    std::optional<StreamFailure> begin(Http::Request);
    std::optional<StreamFailure> accept(Http::ResponseHead const&);
    /// Waits for the next line. Returns nothing if the stream has ended or stalls.
    std::optional<std::string> next_line();

    Platform::BlockingExchange exchange;
    u64 attachment_number { 0 };
};

/// Requests an engine to stop a generation, and to refuse this attempt and earlier ones. The result is ignored, because
/// the gateway also fences out the attempt itself.
void cancel_on_engine(
    Address const&, GenerationId const&, AttemptNumber, std::optional<u64> attachment, Duration timeout);

}
