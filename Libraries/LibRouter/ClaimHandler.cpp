/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Clock.h>
#include <LibRouter/ClaimHandler.h>

namespace Router {

static constexpr size_t max_batch_size = 200;
// In each failure domain, only the router that owns the key "claims" sweeps. It commits at most one transaction per
// period, which adds little to the writes of the claims themselves.
static constexpr Duration sweep_period = 20s;
static constexpr size_t rows_per_sweep = 500;

ClaimHandler::ClaimHandler(Node::Node& node, Duration period)
    : node(node)
{
    node.loop().every(period, [this] { this->flush(); });
    node.loop().every(sweep_period, [this] { this->sweep(); });
}

void ClaimHandler::receive(wire::ClaimRequest const& request, Address const& sender)
{
    // A request that is repeated while its response is on the way gets two equal responses, since the nonce is the
    // same.
    this->waiting.push_back(
        { { OrganisationId(request.organisation()), request.idempotency_key(), request.nonce() }, sender });
}

void ClaimHandler::receive(wire::ClaimRelease const& release)
{
    this->releases.push_back({ OrganisationId(release.organisation()), release.idempotency_key(), release.nonce() });
}

/// Deletes claims whose calls are known not to have run. Best effort: a claim that remains only makes its key unusable.
static void release_claims(Platform::HttpPlatform& platform, std::vector<Platform::Claim> const& claims)
{
    Platform::Transaction transaction;
    for (auto const& claim : claims) {
        auto row = platform.read(Platform::claim_key(claim));
        if (!row || !Platform::claim_is_held_by(row.value(), claim.nonce))
            continue;
        transaction.conditions.push_back({ row.value().key, row.value().version });
        transaction.writes.push_back({ row.value().key, std::nullopt });
    }
    if (!transaction.writes.empty())
        (void)platform.commit(transaction);
}

void ClaimHandler::flush()
{
    if (this->is_writing || (this->waiting.empty() && this->releases.empty()))
        return;
    this->is_writing = true;
    auto count = std::min(this->waiting.size(), max_batch_size);
    std::vector<WaitingClaim> batch(this->waiting.begin(), this->waiting.begin() + static_cast<std::ptrdiff_t>(count));
    this->waiting.erase(this->waiting.begin(), this->waiting.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<Platform::Claim> claims;
    claims.reserve(batch.size());
    for (auto const& waiting_claim : batch)
        claims.push_back(waiting_claim.claim);
    auto& platform = this->node.platform();
    this->node.background().submit(
        [&platform, claims, released = std::exchange(this->releases, {})] {
            if (!released.empty())
                release_claims(platform, released);
            return Platform::ClaimBatch(platform, Core::SystemClock().wall_milliseconds()).make(claims);
        },
        [this, batch](std::vector<Platform::ClaimVerdict> const& verdicts) { this->respond(batch, verdicts); });
}

void ClaimHandler::sweep()
{
    auto const* owner = this->node.owner_of("claims");
    if (!owner || owner->id != this->node.settings().member)
        return;
    auto& platform = this->node.platform();
    this->node.background().submit(
        [&platform, after = this->swept_up_to] {
            return Platform::sweep_claims(platform, after, rows_per_sweep, Core::SystemClock().wall_milliseconds());
        },
        [this](std::string const& up_to) { this->swept_up_to = up_to; });
}

static wire::ClaimAnswer to_answer(Platform::ClaimVerdict verdict)
{
    switch (verdict) {
    case Platform::ClaimVerdict::Granted:
        return wire::CLAIM_GRANTED;
    case Platform::ClaimVerdict::TakenByOther:
        return wire::CLAIM_TAKEN;
    case Platform::ClaimVerdict::Unknown:
        return wire::CLAIM_UNKNOWN;
    case Platform::ClaimVerdict::PlatformUnavailable:
        return wire::CLAIM_PLATFORM_UNAVAILABLE;
    }
    return wire::CLAIM_UNKNOWN;
}

void ClaimHandler::respond(std::vector<WaitingClaim> const& batch, std::vector<Platform::ClaimVerdict> const& verdicts)
{
    this->is_writing = false;
    this->node.metrics().add("lilac_claims_total", batch.size());
    this->node.metrics().add("lilac_claim_batches_total");
    for (size_t i = 0; i < batch.size(); ++i) {
        wire::Envelope envelope;
        envelope.mutable_claim_reply()->set_nonce(batch[i].claim.nonce);
        envelope.mutable_claim_reply()->set_answer(to_answer(verdicts[i]));
        this->node.send(batch[i].requester, std::move(envelope));
    }
}

}
