/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/BackendList.h>
#include <LibServing/PeerLink.h>
#include <LibServing/TableUpdateChunks.h>
#include <LibServing/TableUpdateLog.h>
#include <LibServing/TableUpdateRows.h>

namespace Serving {

/// Exchanges updates of the platform's tables between hosts, so that only few hosts poll the platform. A host that
/// reads an update forwards it. A host that has missed one requests it from other hosts, and from the platform only if
/// these do not respond.
template<Platform::ChangeSource Store>
class TableUpdateExchange {
public:
    using Follower = Platform::ChangeFollower<Store>;
    using Followers = std::map<std::string, Follower*, std::less<>>;

    TableUpdateExchange(ServingContext& context, PeerLink& peers, BackendList& backends, Followers followers)
        : context(context)
        , peers(peers)
        , backends(backends)
        , followers(std::move(followers))
    {
    }

    /// Handles an update that this host has read from the platform. Only the primary reader of the domain forwards it.
    /// The standby reader takes over if the primary reader fails; until then the other hosts detect missed updates by
    /// the versions in full state messages.
    void announce(std::string_view table, Platform::TableUpdate const& update)
    {
        wire::PlatformNews message;
        message.set_table(std::string(table));
        message.set_previous_change(update.previous_change);
        message.set_version(update.page.version);
        message.set_is_difference(update.is_difference);
        this->put_recovery(message);
        put_rows(message, update.page.changes, max_update_bytes);
        this->logs[message.table()].add(message);
        if (!this->context.reachability.is_primary_reader(this->peers.address(), this->context.now()))
            return;
        for (auto& part : split_update(message))
            this->peers.announce_update(std::move(part));
    }

    /// Handles an update that another host has read or forwarded.
    void handle_update(wire::PlatformNews const& received, bool is_local_sender)
    {
        auto* follower = this->follower_of(received.table());
        if (!follower)
            return;
        bool const is_known = received.version() <= follower->version();
        // An update from another domain is unknown to this domain, unless this domain's reader has sent it already.
        if (is_local_sender || !is_known)
            this->peers.relay(received, is_local_sender);
        if (is_known)
            return;
        auto const complete = this->chunks.add(received);
        if (!complete)
            return;
        auto const& message = *complete;
        auto rows = rows_of(message);
        if (!rows)
            this->context.log.event(Core::EventNumber::PlatformContentRejected, message.table())
                .with("reason", rows.error().message);
        if (!message.has_rows() || !rows)
            return follower->catch_up(message.version());
        this->apply_recovery(message);
        this->logs[message.table()].add(message);
        Platform::TableUpdate update;
        update.previous_change = message.previous_change();
        update.page.version = message.version();
        update.is_difference = message.is_difference();
        update.page.changes = std::move(rows.value());
        follower->receive_update(std::move(update));
    }

    /// Handles a report that `host` knows a table up to the version `last_change`.
    void handle_progress(std::string const& table, u64 last_change, Address const& host)
    {
        auto* follower = this->follower_of(table);
        if (!follower || last_change <= follower->version())
            return;
        this->last_host_ahead = host;
        follower->catch_up(last_change);
    }

    /// Requests updates that other hosts know but that have not arrived, from the host that last reported a newer
    /// version.
    void fetch_from_peers(std::string_view table, u64 version)
    {
        if (this->last_host_ahead)
            this->peers.fetch_updates(*this->last_host_ahead, std::string(table), version);
    }

    /// The logged updates for another host that knows a table up to `version`.
    [[nodiscard]] std::vector<wire::PlatformNews> since(std::string const& table, u64 version) const
    {
        std::vector<wire::PlatformNews> parts;
        auto log = this->logs.find(table);
        if (log == this->logs.end())
            return parts;
        for (auto const& update : log->second.since(version))
            std::ranges::move(split_update(update), std::back_inserter(parts));
        return parts;
    }

    /// The last change of each table that this host knows.
    [[nodiscard]] std::vector<std::pair<std::string, u64>> own_progress() const
    {
        std::vector<std::pair<std::string, u64>> progress;
        for (auto const& [table, follower] : this->followers) {
            if (follower->last_change() > 0)
                progress.emplace_back(table, follower->last_change());
        }
        return progress;
    }

private:
    /// Hosts read larger updates from the platform. A configuration of 330 organisations and 250 routes is some 30 KB
    /// when packed.
    static constexpr size_t max_update_bytes = 256 << 10;

    void put_recovery(wire::PlatformNews& message) const
    {
        auto const recovery = this->backends.recovery();
        if (!recovery)
            return;
        auto const now = this->context.now();
        auto const last_failure = recovery->ends_for_own_domain_at - this->context.settings.list_recovery_time;
        message.set_recovery_left_milliseconds(static_cast<u32>(AK::to_milliseconds(recovery->ends_at - now)));
        message.set_outage_began_milliseconds_ago(static_cast<u64>(AK::to_milliseconds(now - recovery->outage_began)));
        message.set_last_failure_milliseconds_ago(static_cast<u64>(AK::to_milliseconds(now - last_failure)));
    }

    void apply_recovery(wire::PlatformNews const& message)
    {
        if (message.recovery_left_milliseconds() == 0)
            return;
        auto const now = this->context.now();
        auto const last_failure = now - std::chrono::milliseconds(message.last_failure_milliseconds_ago());
        this->backends.handle_recovery_of_reader(
            { now - std::chrono::milliseconds(message.outage_began_milliseconds_ago()),
                now + std::chrono::milliseconds(message.recovery_left_milliseconds()),
                last_failure + this->context.settings.list_recovery_time });
    }

    Follower* follower_of(std::string_view table) const
    {
        auto found = this->followers.find(table);
        return found == this->followers.end() ? nullptr : found->second;
    }

    ServingContext& context;
    PeerLink& peers;
    BackendList& backends;
    Followers followers;
    std::map<std::string, TableUpdateLog> logs;
    TableUpdateChunks chunks;
    /// The host that last reported a version newer than the one known here.
    std::optional<Address> last_host_ahead;
};

}
