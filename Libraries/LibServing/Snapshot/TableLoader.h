/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/PeerLink.h>
#include <LibServing/Snapshot/SnapshotFetch.h>
#include <LibServing/Snapshot/SnapshotServer.h>
#include <LibServing/Snapshot/StartOrder.h>

namespace Serving {

/// Loads tables when this host starts, from another host of its failure domain where possible and else from the
/// platform, and hands them to hosts that start later.
class TableLoader {
public:
    struct Table {
        std::string name;
        std::function<bool()> is_known;
        std::function<void()> load_from_platform;
        std::function<void(Platform::TableSnapshot)> load;
        std::function<std::optional<Platform::TableSnapshot>()> snapshot;
    };

    TableLoader(ServingContext&, PeerLink&, std::vector<Table>);

    void start();
    /// The hosts of this host's domain have been read from the platform.
    void handle_hosts_known();
    /// Another host of this domain has reported that it knows the table.
    void handle_holder(std::string const& table, Address const& holder);
    void handle_request(wire::SnapshotRequest const&, Address const& sender);
    void handle_chunk(wire::SnapshotChunk const&, Address const& sender);
    /// Must be called several times per second.
    void tick();

private:
    /// The part of a host's link that snapshots may use; callers need the rest.
    static constexpr double share_of_link = 0.5;
    /// Bytes per second. A host whose link is not known is taken for one of the weakest.
    static double link_for_snapshots(HostSettings const&);
    static constexpr Duration send_period = 10ms;

    struct Loading {
        Table table;
        SnapshotFetch fetch;
        std::vector<Address> holders {};
        bool is_finished { false };
    };

    [[nodiscard]] std::vector<Address> sources_of(std::string const& table) const;
    [[nodiscard]] StartOrder start_order() const;
    void advance(Loading&, StartOrder const&);
    void handle_fetched(Loading&, PackedSnapshot);
    void finish(Loading&, std::string_view source);
    void schedule_sending();
    [[nodiscard]] Loading* find(std::string_view table);

    ServingContext& context;
    PeerLink& peers;
    std::vector<std::unique_ptr<Loading>> tables;
    SnapshotServer server;
    AK::Timer send_timer;
    bool is_sending { false };
    Instant started_at {};
    std::optional<Instant> hosts_known_at;
    Core::HandlerGuard guard;
};

}
