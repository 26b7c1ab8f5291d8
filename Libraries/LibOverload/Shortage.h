/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <map>
#include <optional>

namespace Overload {

/// Whose signs of a shortage a message reports. A reporter never passes on what it has learnt from other failure
/// domains, so that two of them cannot confirm each other's outdated signs.
enum class SignScope : u8 {
    /// Signs that this host has observed itself.
    Host,
    /// The signs of all hosts of this failure domain.
    Domain,
};

/// What one reporter knows of a shortage, as ages, since clocks of hosts differ.
struct ShortageReport {
    Duration age { 0 };
    Duration began_ago { 0 };
    /// Priority of the most urgent generation that lacked capacity; 0 is the most urgent.
    u32 priority { 0 };
    /// Generations that wait for capacity at the reporter.
    u32 waiting { 0 };
};

/// Whether the engines of one service have too little capacity for the generations that callers request at present.
/// Signs of it are generations that are refused or wait for lack of capacity, and a most urgent kind of generation for
/// which no engine has capacity. Without signs the shortage ends by itself, also when the reports of other hosts no
/// longer arrive.
class Shortage {
public:
    /// The shortage ends this long after the last sign: reports of other failure domains come less often than once a
    /// second, and should not end and begin it again in between.
    static constexpr Duration quiet_time = 2s;

    enum class Change : u8 {
        None,
        Began,
        Ended,
    };

    /// Records a sign that this host has observed.
    Change record_sign(u32 priority, Instant now);
    /// Sets the number of generations that wait at this host. A host with waiting generations gives a sign of its own.
    void set_waiting(u32 waiting) { this->own_waiting = waiting; }
    /// Applies the report of another host of this failure domain, or of another domain as a whole.
    Change apply(MemberId const& reporter, SignScope, ShortageReport const&, Instant now);
    /// To be called regularly; notices the end.
    Change update(Instant now);

    [[nodiscard]] bool is_present(Instant now) const
    {
        return this->began_at && now - this->last_sign_at() <= quiet_time;
    }
    /// Time since its beginning; 0 if there is none.
    [[nodiscard]] Duration age(Instant now) const { return this->began_at ? now - *this->began_at : Duration(0); }
    [[nodiscard]] u32 priority() const { return this->most_urgent; }
    [[nodiscard]] u32 waiting_here() const { return this->own_waiting; }
    /// Number of hosts of this failure domain, this one included, at which generations wait.
    [[nodiscard]] u32 hosts_with_waiting(Instant now) const;
    /// What this host tells others; empty if the scope has no recent sign.
    [[nodiscard]] std::optional<ShortageReport> report(SignScope, Instant now) const;

private:
    struct Reporter {
        u32 waiting { 0 };
        Instant at {};
    };
    Change sign_at(Instant& scope_sign, Instant at, u32 priority, Instant began, Instant now);
    [[nodiscard]] Instant last_sign_at() const;

    std::optional<Instant> began_at;
    Instant own_sign {};
    Instant local_sign {};
    Instant remote_sign {};
    u32 most_urgent { 0 };
    u32 own_waiting { 0 };
    /// The hosts of this failure domain that have reported lately.
    std::map<MemberId, Reporter> local_reporters;
};

}
