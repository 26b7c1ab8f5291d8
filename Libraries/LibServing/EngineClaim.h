/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/BackendTable.h>

namespace Serving {

/// The part of an engine's memory and time that one generation of this host takes, from its dispatch to its end.
class EngineClaim {
public:
    EngineClaim(BackendPointer backend, i64 held_tokens, i64 unread_tokens)
        : backend(std::move(backend))
        , held(held_tokens)
        , unread(unread_tokens)
    {
        auto& engine = this->backend->engine;
        ++engine.own_generations;
        engine.own_tokens += this->held;
        engine.own_unread_tokens += this->unread;
    }
    EngineClaim(EngineClaim const&) = delete;
    EngineClaim& operator=(EngineClaim const&) = delete;
    ~EngineClaim()
    {
        auto& engine = this->backend->engine;
        --engine.own_generations;
        engine.own_tokens -= this->held;
        engine.own_unread_tokens -= this->unread;
    }

    /// Its first token has come: the prompt is read.
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
};

/// A generation that has to leave an engine and is not copied yet.
class UncopiedClaim {
public:
    UncopiedClaim(BackendPointer backend, i64 tokens)
        : backend(std::move(backend))
        , tokens(tokens)
    {
        this->backend->engine.own_uncopied_tokens += this->tokens;
    }
    UncopiedClaim(UncopiedClaim const&) = delete;
    UncopiedClaim& operator=(UncopiedClaim const&) = delete;
    ~UncopiedClaim() { this->backend->engine.own_uncopied_tokens -= this->tokens; }

private:
    BackendPointer backend;
    i64 tokens;
};

/// Room at an engine for a copy that is on its way there.
class CopyReservation {
public:
    CopyReservation(BackendPointer backend, i64 tokens)
        : backend(std::move(backend))
        , tokens(tokens)
    {
        this->backend->engine.expected_copy_tokens += this->tokens;
    }
    CopyReservation(CopyReservation const&) = delete;
    CopyReservation& operator=(CopyReservation const&) = delete;
    ~CopyReservation() { this->backend->engine.expected_copy_tokens -= this->tokens; }

private:
    BackendPointer backend;
    i64 tokens;
};

}
