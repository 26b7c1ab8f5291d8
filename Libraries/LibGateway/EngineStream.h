/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Identifiers.h>
#include <Poco/Net/HTTPClientSession.h>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Gateway {

/// An engine and the permission to use it.
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
    /// Nothing of the request reached the engine, or the engine said that it did not start it.
    NotStarted,
    /// The engine said that it takes nothing new because it is leaving; it did not start the request.
    Leaving,
    /// The engine does not know the generation (any more), or has fenced this attempt out.
    Unknown,
    /// The connection ended, or stood still for too long. The generation may go on.
    Broken,
};

using StreamItem = std::variant<EngineToken, EngineFinished, StreamFailure>;

/// One connection to an engine over which the tokens of one generation come. An edge thread's; blocks.
class EngineStream {
public:
    /// Asks the engine to start a generation. Failures: NotStarted, Leaving, Unknown when fenced out, Broken.
    static std::variant<std::unique_ptr<EngineStream>, StreamFailure> start(
        Address const&, EngineStart const&, Duration timeout);
    /// Attaches to a generation that runs or has run, from `next_offset` on. Failures: NotStarted when the engine
    /// can't be connected to, Unknown, Broken.
    static std::variant<std::unique_ptr<EngineStream>, StreamFailure> resume(
        Address const&, GenerationId const&, AttemptNumber, u64 next_offset, Duration timeout);

    /// The next token, the end, or Broken when nothing at all came for `timeout`.
    StreamItem next();
    /// Counts the streams attached to the generation so far; a cancel by an earlier one is ignored by the engine.
    [[nodiscard]] u64 attachment() const { return this->attachment_number; }

private:
    EngineStream() = default;
    static std::variant<std::unique_ptr<EngineStream>, StreamFailure> open(
        Address const&, std::string const& method, std::string const& path, std::string const& body, Duration timeout);

    std::unique_ptr<Poco::Net::HTTPClientSession> session;
    std::istream* input { nullptr };
    u64 attachment_number { 0 };
};

/// Tells an engine to stop a generation, and to refuse this attempt and earlier ones from now on. The result does not
/// matter: the gateway fences the attempt out by itself as well.
void cancel_on_engine(
    Address const&, GenerationId const&, AttemptNumber, std::optional<u64> attachment, Duration timeout);

}
