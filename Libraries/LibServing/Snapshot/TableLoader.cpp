/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Snapshot/TableLoader.h>
#include <algorithm>

namespace Serving {

/// A host of the platform's table that has not been heard of for this long has been replaced.
static constexpr Duration host_start_time = 3s;

double TableLoader::link_for_snapshots(HostSettings const& settings)
{
    constexpr double least_link = 1.25e6;
    auto const link = link_bytes_per_second(settings);
    return (link > 0 ? link : least_link) * share_of_link;
}

TableLoader::TableLoader(ServingContext& context, PeerLink& peers, std::vector<Table> loaded)
    : context(context)
    , peers(peers)
    , server(link_for_snapshots(context.settings),
          { [this](Address const& receiver, wire::SnapshotChunk chunk) {
               this->peers.send_snapshot_chunk(receiver, std::move(chunk));
           },
              [this](std::string const& name) -> std::optional<Platform::TableSnapshot> {
                  auto* loading = this->find(name);
                  if (!loading || !loading->table.is_known())
                      return {};
                  return loading->table.snapshot();
              } })
    , send_timer(context.loop)
{
    for (auto& table : loaded) {
        auto name = table.name;
        SnapshotFetch::Callbacks callbacks;
        callbacks.send = [this](Address const& holder, wire::SnapshotRequest request) {
            this->peers.send_snapshot_request(holder, std::move(request));
        };
        callbacks.candidates = [this, name] { return this->sources_of(name); };
        callbacks.fetched
            = [this, name](PackedSnapshot packed) { this->handle_fetched(*this->find(name), std::move(packed)); };
        this->tables.push_back(
            std::make_unique<Loading>(Loading { std::move(table), SnapshotFetch(name, std::move(callbacks)) }));
    }
}

void TableLoader::start() { this->started_at = this->context.now(); }

void TableLoader::handle_hosts_known() { this->hosts_known_at = this->context.now(); }

void TableLoader::handle_holder(std::string const& table, Address const& holder)
{
    auto* loading = this->find(table);
    bool const is_new
        = loading && !loading->is_finished && std::ranges::find(loading->holders, holder) == loading->holders.end();
    if (is_new && this->context.reachability.is_local(holder))
        loading->holders.push_back(holder);
}

void TableLoader::handle_request(wire::SnapshotRequest const& request, Address const& sender)
{
    this->server.handle_request(request, sender, this->context.now());
    if (this->server.has_pending() && !std::exchange(this->is_sending, true))
        this->schedule_sending();
}

void TableLoader::handle_chunk(wire::SnapshotChunk const& chunk, Address const& sender)
{
    auto* loading = this->find(chunk.table());
    if (loading && !loading->is_finished)
        loading->fetch.handle_chunk(chunk, sender, this->context.now());
}

TableLoader::Loading* TableLoader::find(std::string_view table)
{
    auto found
        = std::ranges::find_if(this->tables, [table](auto const& loading) { return loading->table.name == table; });
    return found == this->tables.end() ? nullptr : found->get();
}

StartOrder TableLoader::start_order() const
{
    std::vector<SnapshotPeer> others;
    for (auto const& host : this->context.reachability.local_hosts(host_start_time, this->context.now()))
        others.push_back({ host.address, host.strength });
    return { { this->peers.address(), this->context.reachability.strength() }, std::move(others) };
}

std::vector<Address> TableLoader::sources_of(std::string const& table) const
{
    auto const found
        = std::ranges::find_if(this->tables, [&](auto const& loading) { return loading->table.name == table; });
    return this->start_order().sources((*found)->holders);
}

void TableLoader::tick()
{
    bool const is_loading
        = std::ranges::any_of(this->tables, [](auto const& loading) { return !loading->is_finished; });
    if (!is_loading)
        return;
    auto const order = this->start_order();
    for (auto const& loading : this->tables) {
        if (!loading->is_finished)
            this->advance(*loading, order);
    }
}

void TableLoader::advance(Loading& loading, StartOrder const& order)
{
    if (loading.table.is_known())
        return this->finish(loading, "platform");
    auto const now = this->context.now();
    StartOrder::Situation situation;
    if (this->hosts_known_at)
        situation.knows_hosts_for = now - *this->hosts_known_at;
    situation.age = now - this->started_at;
    situation.holder_is_known = !loading.holders.empty();
    situation.fetch_is_progressing = loading.fetch.is_progressing(now);
    switch (order.source_in(situation)) {
    case TableSource::None:
        return;
    case TableSource::Peers:
        return loading.fetch.tick(now);
    case TableSource::Platform:
        loading.table.load_from_platform();
        if (this->context.reachability.is_platform_unavailable() && situation.holder_is_known)
            loading.fetch.tick(now);
        return;
    }
}

void TableLoader::handle_fetched(Loading& loading, PackedSnapshot packed)
{
    auto snapshot = unpack_snapshot(packed);
    if (!snapshot) {
        this->context.log.event(Core::EventNumber::PlatformContentRejected, packed.table)
            .with("reason", snapshot.error().message);
        return;
    }
    loading.table.load(std::move(snapshot.value()));
    this->server.keep(std::move(packed), this->context.now());
    this->finish(loading, "peer");
}

void TableLoader::finish(Loading& loading, std::string_view source)
{
    loading.is_finished = true;
    loading.holders.clear();
    this->context.metrics.add("tables_loaded_total{source=\"" + std::string(source) + "\"}");
    this->context.log.event(Core::EventNumber::TableLoaded, loading.table.name)
        .with("source", source)
        .with("took_ms", this->context.now() - this->started_at);
    // Those that wait for this host's table need not wait for its next full state message.
    if (source == "platform")
        this->peers.broadcast_full_state();
}

void TableLoader::schedule_sending()
{
    this->send_timer.expires_after(send_period);
    this->send_timer.async_wait(this->guard.wrap([this](boost::system::error_code error) {
        if (error)
            return;
        this->server.send_pending(this->context.now());
        this->is_sending = this->server.has_pending();
        if (this->is_sending)
            this->schedule_sending();
    }));
}

}
