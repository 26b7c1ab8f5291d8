/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/BackendTable.h>

namespace Serving {

/// Whether a generation streams events for some time.
enum class StreamLength : u8 {
    Short,
    Long,
};

/// RAII claim for the memory and prompt backlog of one generation of this host at an engine, from its dispatch to its
/// end.
class EngineClaim {
public:
    EngineClaim(BackendPointer backend, i64 held_tokens, i64 unread_tokens, StreamLength length = StreamLength::Short)
        : backend(std::move(backend))
        , held(held_tokens)
        , unread(unread_tokens)
        , streams(length == StreamLength::Long ? 1 : 0)
    {
        auto& engine = this->backend->engine;
        ++engine.own_generations;
        engine.own_tokens += this->held;
        engine.own_unread_tokens += this->unread;
        engine.own_streams += this->streams;
    }
    EngineClaim(EngineClaim const&) = delete;
    EngineClaim& operator=(EngineClaim const&) = delete;
    ~EngineClaim()
    {
        auto& engine = this->backend->engine;
        --engine.own_generations;
        engine.own_tokens -= this->held;
        engine.own_unread_tokens -= this->unread;
        engine.own_streams -= this->streams;
    }

    /// Called at the first output token, when the engine has read the whole prompt.
    void prompt_read()
    {
        this->backend->engine.own_unread_tokens -= this->unread;
        this->unread = 0;
    }
    void grow(i64 tokens)
    {
        this->held += tokens;
        this->backend->engine.own_tokens += tokens;
    }
    [[nodiscard]] i64 held_tokens() const { return this->held; }
    [[nodiscard]] Backend& engine() const { return *this->backend; }

private:
    BackendPointer backend;
    i64 held;
    i64 unread;
    i64 streams;
};

/// RAII claim that counts tokens in one account of an engine's load: tokens that the engine's link still has to send or
/// receive, or memory reserved for a copy. Streams are counted likewise.
class TokenClaim {
public:
    using Account = i64 EngineLoad::*;

    TokenClaim(BackendPointer backend, Account account, i64 tokens)
        : backend(std::move(backend))
        , account(account)
        , tokens(tokens)
    {
        this->backend->engine.*this->account += this->tokens;
    }
    TokenClaim(TokenClaim const&) = delete;
    TokenClaim& operator=(TokenClaim const&) = delete;
    ~TokenClaim() { this->backend->engine.*this->account -= this->tokens; }

private:
    BackendPointer backend;
    Account account;
    i64 tokens;
};

}
