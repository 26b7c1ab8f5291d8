/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibPlatform/TableStore.h>
#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Platform {

/// A claim to run one call that must not be repeated. The process that commits the claim first runs the call. The nonce
/// lets a process recognise its own claim after the response to the commit was lost.
struct Claim {
    OrganisationId organisation;
    std::string idempotency_key;
    std::string nonce;
};

enum class ClaimVerdict : u8 {
    /// This nonce holds the claim: the call may be dispatched once.
    Granted,
    /// Another nonce holds it: the call has run or may run.
    TakenByOther,
    /// It is unknown whether the claim was committed. The call must not be dispatched.
    Unknown,
    /// The platform is unavailable and the claim was not committed.
    PlatformUnavailable,
};

/// Lifetime of a claim. Afterwards, the same key identifies a new call.
static constexpr u64 claim_lifetime_milliseconds = 24ull * 60 * 60 * 1000;

inline std::string claim_key(Claim const& claim)
{
    // The length prefix distinguishes ("a", "b/c") from ("a/b", "c").
    auto const& organisation = claim.organisation.value();
    return "claim/" + std::to_string(organisation.size()) + '/' + organisation + '/' + claim.idempotency_key;
}

/// Formats the row's value as "expiry nonce".
inline std::string claim_value(Claim const& claim, u64 wall_now)
{
    return std::to_string(wall_now + claim_lifetime_milliseconds) + ' ' + claim.nonce;
}

inline bool claim_is_held(Row const& row, u64 wall_now)
{
    u64 expiry = 0;
    std::from_chars(row.value.data(), row.value.data() + row.value.size(), expiry);
    return row.exists() && wall_now < expiry;
}

inline bool claim_is_held_by(Row const& row, std::string const& nonce)
{
    auto space = row.value.find(' ');
    return row.exists() && space != std::string::npos && row.value.substr(space + 1) == nonce;
}

/// Deletes expired claims among the `limit` rows after the key `after`, in one transaction. Returns the key after which
/// to continue, or an empty string at the end. Best effort: the next sweep finds claims that remain.
template<TableStore Store>
std::string sweep_claims(Store& store, std::string const& after, size_t limit, u64 wall_now)
{
    auto rows = store.scan("claim/", after, limit);
    if (!rows || rows.value().empty())
        return {};
    Transaction transaction;
    for (auto const& row : rows.value()) {
        if (claim_is_held(row, wall_now))
            continue;
        transaction.conditions.push_back({ row.key, row.version });
        transaction.writes.push_back({ row.key, std::nullopt });
    }
    if (!transaction.writes.empty())
        (void)store.commit(transaction);
    return rows.value().size() < limit ? std::string() : rows.value().back().key;
}

/// Commits many claims in few transactions. Blocks. Of several claims with the same key in one batch, at most one is
/// granted.
template<TableStore Store>
class ClaimBatch {
public:
    ClaimBatch(Store& store, u64 wall_now)
        : store(store)
        , wall_now(wall_now)
    {
    }

    /// Returns the verdicts in the order of the claims.
    std::vector<ClaimVerdict> make(std::vector<Claim> const& claims)
    {
        this->claims = &claims;
        this->verdicts.assign(claims.size(), std::nullopt);
        this->settle_duplicates();
        // Each failed condition decides at least one claim, so the rounds are limited in case the platform misbehaves.
        for (size_t round = 0; round <= claims.size() + 1 && this->has_open(); ++round) {
            auto transaction = this->prepare();
            if (!transaction)
                break;
            if (transaction->writes.empty())
                continue;
            this->commit(*transaction);
        }
        std::vector<ClaimVerdict> result;
        for (auto const& verdict : this->verdicts)
            result.push_back(verdict.value_or(ClaimVerdict::Unknown));
        return result;
    }

private:
    [[nodiscard]] bool has_open() const
    {
        return std::ranges::any_of(this->verdicts, [](auto const& verdict) { return !verdict; });
    }

    void settle_duplicates()
    {
        std::set<std::string> seen;
        for (size_t i = 0; i < this->claims->size(); ++i) {
            if (!seen.insert(claim_key((*this->claims)[i])).second)
                this->verdicts[i] = ClaimVerdict::TakenByOther;
        }
    }

    void settle_open(ClaimVerdict verdict)
    {
        for (auto& open : this->verdicts) {
            if (!open)
                open = verdict;
        }
    }

    /// Reads the rows of all undecided claims, decides those that are held, and returns one transaction for the rest.
    /// If the platform is unavailable, decides all of them and returns nothing.
    std::optional<Transaction> prepare()
    {
        Transaction transaction;
        for (size_t i = 0; i < this->claims->size(); ++i) {
            if (this->verdicts[i])
                continue;
            auto const& claim = (*this->claims)[i];
            auto row = this->store.read(claim_key(claim));
            if (!row) {
                this->settle_open(this->has_lost_response ? ClaimVerdict::Unknown : ClaimVerdict::PlatformUnavailable);
                return std::nullopt;
            }
            if (claim_is_held_by(row.value(), claim.nonce)) {
                this->verdicts[i] = ClaimVerdict::Granted;
            } else if (claim_is_held(row.value(), this->wall_now)) {
                this->verdicts[i] = ClaimVerdict::TakenByOther;
            } else {
                transaction.conditions.push_back({ claim_key(claim), row.value().version });
                transaction.writes.push_back({ claim_key(claim), claim_value(claim, this->wall_now) });
            }
        }
        return transaction;
    }

    void commit(Transaction const& transaction)
    {
        auto result = this->store.commit(transaction);
        if (result) {
            if (result.value() == CommitResult::Committed)
                this->settle_open(ClaimVerdict::Granted);
            return;
        }
        if (result.error().kind == ErrorKind::PlatformAnswerLost)
            this->has_lost_response = true;
        else
            this->settle_open(this->has_lost_response ? ClaimVerdict::Unknown : ClaimVerdict::PlatformUnavailable);
    }

    Store& store;
    u64 wall_now;
    std::vector<Claim> const* claims { nullptr };
    std::vector<std::optional<ClaimVerdict>> verdicts;
    bool has_lost_response { false };
};

}
