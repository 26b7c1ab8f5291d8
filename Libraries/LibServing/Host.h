/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/CallerServer.h>
#include <LibServing/AllowanceShare.h>
#include <LibServing/BackendList.h>
#include <LibServing/ConnectionProbes.h>
#include <LibServing/Contact.h>
#include <LibServing/EnginePoller.h>
#include <LibServing/HostDirectory.h>
#include <LibServing/HostPlatform.h>
#include <LibServing/LogRateLimiter.h>
#include <LibServing/OperatorTable.h>
#include <LibServing/Overload/DomainFailures.h>
#include <LibServing/Overload/LoadMeter.h>
#include <LibServing/PeerLink.h>
#include <LibServing/PlannedStop.h>
#include <LibServing/QuarantineTable.h>
#include <LibServing/RequestHandler.h>
#include <LibServing/RolloutCoordinator.h>
#include <LibServing/ServiceReachability.h>
#include <LibServing/Snapshot/HostSnapshot.h>
#include <LibServing/Snapshot/TableLoader.h>
#include <LibServing/TableUpdateExchange.h>
#include <boost/asio/signal_set.hpp>

namespace Serving {

/// The process of one entry host: the HTTP servers for callers, the request handling and the platform's clients, all on
/// one event loop.
template<HostPlatform P>
class Host {
public:
    using Reload = std::function<Result<HostSettings>()>;

    Host(Http::asio::io_context& loop, HostSettings initial_settings, Core::StructuredLog& log, Reload reload)
        : loop(loop)
        , settings(std::move(initial_settings))
        , log(log)
        , reload(std::move(reload))
        , context(loop, this->settings, log)
        , request_handler(this->context)
        , engine_poller(this->context)
        , probes(this->context)
        , peers(this->context, this->make_peer_observer())
        , backends(this->context,
              { [this](BackendPointer const& backend) { this->peers.backend_added(*backend); },
                  [this](BackendPointer const& backend) { this->engine_poller.handle_engine_leaving(backend); } })
        , operator_table(this->context,
              { [this] { this->callers_context->limits = this->context.routing->limits(); },
                  [this](Platform::Row const& row, Error const& error) { this->reject_row(row, error); } })
        , directory_store(loop, this->settings.platform.value())
        , directory(loop, this->directory_store, this->settings.host,
              { this->settings.peer_address, this->settings.failure_domain, strength_of(this->settings) },
              { [this](std::vector<KnownHost> hosts) {
                   this->peers.update_known_hosts(std::move(hosts), false);
                   this->table_loader.handle_hosts_known();
               },
                  [this](std::vector<KnownHost> hosts) { this->peers.update_known_hosts(std::move(hosts)); },
                  [this](Error const& error) { this->handle_platform_unavailable("hosts", error); },
                  [this] { this->handle_platform_available("hosts"); } })
        , quarantine_store(loop, this->settings.platform.value())
        , quarantine_table(this->context, this->quarantine_store, this->peers.address())
        , configuration_store(loop, this->settings.platform.value())
        , backend_store(loop, this->settings.platform.value())
        , configuration_follower(loop, this->configuration_store, std::string(P::configuration_table),
              this->make_configuration_observer(), this->settings.follower)
        , backend_follower(loop, this->backend_store, std::string(P::backend_table), this->make_backend_observer(),
              this->settings.follower)
        , rollouts(
              this->context, this->peers,
              [this](Platform::TableUpdate const& update) {
                  this->table_updates.announce(RolloutCoordinator<P>::table, update);
              },
              [this](u64 version) { this->table_updates.fetch_from_peers(RolloutCoordinator<P>::table, version); })
        , table_updates(this->context, this->peers, this->backends,
              { { std::string(P::configuration_table), &this->configuration_follower },
                  { std::string(P::backend_table), &this->backend_follower },
                  { std::string(RolloutCoordinator<P>::table), &this->rollouts.follower() } })
        , table_loader(this->context, this->peers,
              { this->loaded_table(P::configuration_table, this->configuration_follower),
                  this->loaded_table(P::backend_table, this->backend_follower), this->loaded_hosts() })
        , signals(loop, SIGTERM, SIGINT, SIGHUP)
        , tick_timer(loop)
    {
    }

    void start()
    {
        this->started_at = this->context.now();
        this->log.event(Core::EventNumber::ProcessStarted, this->settings.host.value())
            .with("failure_domain", this->settings.failure_domain)
            .with("callers_listen", this->settings.callers_listen);
        this->callers_context = std::make_shared<Http::CallerContext>();
        this->callers_context->on_request
            = [this](std::shared_ptr<Http::Exchange> exchange) { this->request_handler.handle(std::move(exchange)); };
        if (this->settings.memory_bytes > 0) {
            this->callers_context->output_budget.emplace(
                Overload::OutputBudget::total_for(this->settings.memory_bytes));
            this->context.collected_responses = std::make_shared<Overload::OutputBudget>(
                Overload::OutputBudget::total_for_collected(this->settings.memory_bytes));
        }
        this->callers_context->request_budget = std::make_shared<Overload::RequestBudget>(
            this->settings.memory_bytes > 0 ? Overload::RequestBudget::total_for(this->settings.memory_bytes)
                                            : Overload::RequestBudget::default_total);
        this->callers_context->on_rejected_request
            = [this](Http::Status status, std::string const& reason) { this->record_rejected_unread(status, reason); };
        this->callers_context->is_overloaded = [this] { return this->context.host_load.is_overloaded(); };
        this->callers_context->may_read_new_connection
            = [this] { return this->context.host_load.may_read_new_connection(this->context.now()); };
        this->callers_context->on_closed
            = [this](Http::ConnectionClose const& close) { this->log_caller_connection_closed(close); };
        this->load_meter.emplace(this->context, this->callers_context->traffic);
        this->callers.emplace(this->loop, this->endpoint(this->settings.callers_listen), this->callers_context);
        this->callers->accept_hosts_at(this->endpoint(this->settings.peer_listen));
        this->readiness.emplace(this->loop, this->endpoint(this->settings.readiness_listen),
            make_page([this](Http::Request const&) { return this->readiness_response(); }));
        if (this->settings.metrics_listen)
            this->metrics.emplace(this->loop, this->endpoint(*this->settings.metrics_listen),
                make_page([this](Http::Request const&) { return this->metrics_response(); }));
        this->configuration_follower.set_following(Platform::Following::None);
        this->backend_follower.set_following(Platform::Following::None);
        this->table_loader.start();
        this->engine_poller.start();
        this->context.backend_terminated = [this](Backend const& backend) {
            auto const server = backend.server;
            if (backend.has_terminated)
                return;
            this->backends.handle_termination(server.id, server.start, server.address);
            this->peers.announce_termination(server);
        };
        this->context.backend_leaves = [this](Backend const& backend) {
            this->backends.handle_leaving(backend.server.id, backend.server.start, backend.ends_at);
            this->peers.announce_leaving(backend);
        };
        this->peers.start();
        this->directory.start();
        this->quarantine_table.start();
        this->await_signal();
        this->tick();
    }

    /// Returns the estimated load of an engine; empty if the engine is unknown.
    [[nodiscard]] EngineLoad estimated_load_of(EngineId const& id) const
    {
        auto backend = this->context.backends.find(id);
        return backend ? backend->engine : EngineLoad {};
    }

    /// Runs the event loop until the host has stopped. An exception ends the handling of one event.
    void run()
    {
        while (!this->loop.stopped()) {
            try {
                this->loop.run();
            } catch (std::exception const& exception) {
                this->context.record_exception(exception, "none");
            }
        }
    }

private:
    static constexpr Duration tick_period = 50ms;
    /// A fifth of the shortest latency goal of a plain call (100 ms).
    static constexpr Duration min_logged_stall = 20ms;
    /// A joining host has no share of the allowance for its first ten seconds, so the shares need no faster update.
    static constexpr Duration share_period = 500ms;
    /// A few queries fit into the lifetime of a report, in case datagrams are lost.
    static constexpr Duration contact_query_period = 400ms;
    /// Known hosts that are checked in each tick.
    static constexpr size_t hosts_per_tick = 128;
    /// After its start, a host waits for the other hosts to report which of them read the platform's tables. That takes
    /// two calls of the platform and one message each way, about ten milliseconds; the rest allows for a slow start.
    static constexpr Duration settling_time = 500ms;

    /// Requests for readiness and metrics need no body.
    static constexpr u64 max_page_request_bytes = 64 << 10;

    static Http::tcp::endpoint endpoint(Address const& address)
    {
        auto parsed = Http::parse_endpoint(address.value());
        if (!parsed)
            throw std::runtime_error(address.value() + " is no address; write ip:port");
        return *parsed;
    }

    static std::shared_ptr<Http::CallerContext> make_page(std::function<Http::Response(Http::Request const&)> page)
    {
        auto context = std::make_shared<Http::CallerContext>();
        context->limits.body_bytes = max_page_request_bytes;
        context->request_budget = std::make_shared<Overload::RequestBudget>(Overload::RequestBudget::min_total);
        context->on_request = [page = std::move(page)](std::shared_ptr<Http::Exchange> const& exchange) {
            exchange->respond(page(exchange->request()));
        };
        return context;
    }

    [[nodiscard]] bool is_ready() const
    {
        return !this->context.is_leaving() && this->context.routing && this->backends_known
            && this->context.unreachable_services.empty();
    }

    Http::Response readiness_response()
    {
        if (this->is_ready() && !std::exchange(this->has_logged_ready, true))
            this->log.event(Core::EventNumber::ProcessReady, this->settings.host.value())
                .with("revision", this->context.routing->revision())
                .with("backends", this->context.backends.all().size());
        return { this->is_ready() ? Http::Status::ok : Http::Status::service_unavailable, 11 };
    }

    Http::Response metrics_response()
    {
        this->context.metrics.set("open_requests", static_cast<double>(this->callers_context->open_requests));
        if (this->callers_context->output_budget)
            this->context.metrics.set(
                "unread_response_bytes", static_cast<double>(this->callers_context->output_budget->used()));
        if (this->context.collected_responses)
            this->context.metrics.set(
                "collected_response_bytes", static_cast<double>(this->context.collected_responses->used()));
        this->context.metrics.set("request_bytes", static_cast<double>(this->callers_context->request_budget->used()));
        this->context.metrics.set("log_lines_dropped", static_cast<double>(this->log.dropped_lines()));
        Http::Response response(Http::Status::ok, 11);
        response.set(Http::Name::content_type, "text/plain; version=0.0.4");
        response.body() = this->context.metrics.text();
        return response;
    }

    /// Clients that don't keep to the limits may send more than the log can hold, so one line a second is written for
    /// each reason.
    void record_rejected_unread(Http::Status status, std::string const& reason)
    {
        auto const number = static_cast<int>(status);
        this->context.metrics.add("requests_rejected_unread_total{status=\"" + std::to_string(number) + "\"}");
        if (this->rejected_requests.is_due(reason, this->context.now()))
            this->log.event(Core::EventNumber::RequestRefused, "unread").with("status", number).with("reason", reason);
    }

    // --- tables of the platform

    Platform::FollowerObserver make_observer(std::string_view table)
    {
        Platform::FollowerObserver observer;
        observer.unavailable = [this, table](Error const& error) { this->handle_platform_unavailable(table, error); };
        observer.available = [this, table] { this->handle_platform_available(table); };
        observer.answered = [this] { this->context.platform_contact.record_answer(this->context.now()); };
        observer.failed = [this] { this->context.platform_contact.record_failure(this->context.now()); };
        return observer;
    }

    void handle_platform_unavailable(std::string_view table, Error const& error)
    {
        this->context.reachability.set_platform_unavailable();
        this->log.event(Core::EventNumber::PlatformUnavailable, table).with("reason", error.message);
    }

    void handle_platform_available(std::string_view table)
    {
        this->context.reachability.set_platform_available();
        this->log.event(Core::EventNumber::PlatformAvailable, table);
    }

    Platform::FollowerObserver make_configuration_observer()
    {
        auto observer = this->make_observer(P::configuration_table);
        observer.listed = [this](std::vector<Platform::Row> const& rows, u64 version) {
            this->log_listed(P::configuration_table, rows.size(), version);
            this->operator_table.listed(rows, version);
        };
        observer.changed
            = [this](std::vector<Platform::RowChange> const& changes, u64) { this->operator_table.changed(changes); };
        observer.fetched = [this](Platform::TableUpdate const& update) {
            this->table_updates.announce(P::configuration_table, update);
        };
        observer.missed
            = [this](u64 version) { this->table_updates.fetch_from_peers(P::configuration_table, version); };
        return observer;
    }

    Platform::FollowerObserver make_backend_observer()
    {
        auto observer = this->make_observer(P::backend_table);
        observer.available = [this] {
            this->handle_platform_available(P::backend_table);
            this->backends.handle_platform_recovery(this->settings.list_recovery_time);
        };
        observer.listed = [this](std::vector<Platform::Row> const& rows, u64 version) {
            this->log_listed(P::backend_table, rows.size(), version);
            this->backends_known = true;
            this->apply_backends(rows);
        };
        observer.changed = [this](std::vector<Platform::RowChange> const& changes, u64) {
            for (auto const& change : changes)
                this->apply_backend(change);
        };
        observer.fetched
            = [this](Platform::TableUpdate const& update) { this->table_updates.announce(P::backend_table, update); };
        observer.missed = [this](u64 version) { this->table_updates.fetch_from_peers(P::backend_table, version); };
        observer.may_retry = [this] { return this->configuration_follower.is_reachable(); };
        return observer;
    }

    // --- tables at the start

    TableLoader::Table loaded_table(std::string_view name, Platform::ChangeFollower<typename P::Store>& follower)
    {
        return { std::string(name), [&follower] { return follower.is_known(); }, [&follower] { follower.start(); },
            [&follower](Platform::TableSnapshot snapshot) { follower.load(std::move(snapshot)); },
            [&follower] { return follower.snapshot(); } };
    }

    /// The hosts of all domains.
    TableLoader::Table loaded_hosts()
    {
        auto& reachability = this->context.reachability;
        auto is_known = [&reachability, this] { return reachability.fleet_known_for(this->context.now()).has_value(); };
        auto load
            = [this](Platform::TableSnapshot const& snapshot) { this->peers.update_known_hosts(hosts_in(snapshot)); };
        auto snapshot = [&reachability, this] {
            KnownHost const own { this->peers.address(), this->settings.failure_domain, reachability.strength() };
            return std::optional(snapshot_of_hosts(reachability.known_hosts(this->context.now()), own));
        };
        return { HostDirectory<typename P::Store>::table, is_known, [this] { this->directory.read_all(); }, load,
            snapshot };
    }

    // --- table updates between hosts

    PeerLink::Observer make_peer_observer()
    {
        PeerLink::Observer observer;
        observer.backend_leaves = [this](EngineId const& id, ServerStart start, std::optional<Instant> ends_at) {
            this->backends.handle_leaving(id, start, ends_at);
        };
        observer.backend_terminated = [this](EngineId const& id, ServerStart start, Address const& address) {
            this->backends.handle_termination(id, start, address);
        };
        observer.update_received = [this](wire::PlatformNews const& update, bool is_local_sender) {
            this->table_updates.handle_update(update, is_local_sender);
        };
        observer.snapshot_requested = [this](wire::SnapshotRequest const& request, Address const& sender) {
            this->table_loader.handle_request(request, sender);
        };
        observer.snapshot_received = [this](wire::SnapshotChunk const& chunk, Address const& sender) {
            this->table_loader.handle_chunk(chunk, sender);
        };
        observer.progress_received = [this](std::string const& table, u64 last_change, Address const& host) {
            this->table_loader.handle_holder(table, host);
            // A host that knows any table has been running for long enough to know the other hosts.
            this->table_loader.handle_holder(HostDirectory<typename P::Store>::table, host);
            this->table_updates.handle_progress(table, last_change, host);
        };
        observer.updates_since
            = [this](std::string const& table, u64 version) { return this->table_updates.since(table, version); };
        observer.tally_received = [this](wire::RolloutTally const& tally, Address const& sender) {
            this->rollouts.handle_tally(tally, sender);
        };
        observer.own_progress = [this] { return this->table_updates.own_progress(); };
        return observer;
    }

    /// Sets how this host follows the platform's tables. All readers follow the configuration promptly: it rarely
    /// changes, and a pending long poll costs nothing more. The list of backend servers changes all the time, and each
    /// change would complete a call of every reader. So only one host of all failure domains follows it promptly, and
    /// the primary reader of each other domain is on standby.
    void update_following()
    {
        auto now = this->context.now();
        auto const& reachability = this->context.reachability;
        auto const& own = this->peers.address();
        bool const reads = now - this->started_at >= settling_time && reachability.reads_platform(own, now);
        auto followed = Platform::Following::None;
        if (reads && (reachability.is_platform_unavailable() || reachability.is_primary_reader(own, now)))
            followed
                = reachability.is_leading_reader(own, now) ? Platform::Following::Prompt : Platform::Following::Standby;
        this->configuration_follower.set_following(reads ? Platform::Following::Prompt : Platform::Following::None);
        this->backend_follower.set_following(followed);
    }

    void log_listed(std::string_view table, size_t count, u64 version)
    {
        this->log.event(Core::EventNumber::TableListed, table).with("rows", count).with("version", version);
    }

    void apply_backends(std::vector<Platform::Row> const& rows)
    {
        std::vector<BackendServer> servers;
        std::vector<EngineId> unusable;
        for (auto const& row : rows) {
            auto decoded = P::decode_backend_server(row);
            if (decoded) {
                servers.push_back(std::move(decoded.value()));
                continue;
            }
            this->reject_row(row, decoded.error());
            unusable.emplace_back(row.key);
        }
        this->backends.apply_list(servers, unusable);
    }

    void apply_backend(Platform::RowChange const& change)
    {
        if (change.removed)
            return this->backends.handle_removal(EngineId(change.row.key));
        auto decoded = P::decode_backend_server(change.row);
        if (decoded)
            return this->backends.apply_entry(decoded.value());
        this->reject_row(change.row, decoded.error());
        this->backends.mark_unusable(EngineId(change.row.key));
    }

    void reject_row(Platform::Row const& row, Error const& error)
    {
        this->context.metrics.add("platform_rows_rejected_total");
        if (!this->rejected_rows.is_due(row.key, this->context.now()))
            return;
        this->log.event(Core::EventNumber::PlatformContentRejected, row.key).with("reason", error.message);
    }

    /// Logs connections that this host closes on its own or that end during a request. Connections that end normally
    /// after a response are only counted.
    void log_caller_connection_closed(Http::ConnectionClose const& close)
    {
        auto reason = std::string(to_string(close.reason));
        this->context.metrics.add("caller_connections_closed_total{reason=\"" + reason + "\"}");
        bool const is_ordinary = close.reason == Http::CloseReason::ResponseSent
            || close.reason == Http::CloseReason::Overloaded
            || (close.reason == Http::CloseReason::ClosedByCaller
                && close.phase == Http::ConnectionPhase::BetweenRequests);
        if (is_ordinary)
            return;
        this->log.event(Core::EventNumber::CallerConnectionClosed, this->settings.host.value())
            .with("reason", reason)
            .with("phase", to_string(close.phase))
            .with("requests_taken", close.requests_accepted)
            .with("waited_ms", close.time_in_phase);
    }

    // --- process lifecycle

    void record_lateness()
    {
        auto lateness = this->context.now() - this->tick_timer.expiry();
        this->context.metrics.observe("loop_lateness_seconds", lateness);
        this->load_meter->record(lateness);
        if (lateness >= min_logged_stall)
            this->log.event(Core::EventNumber::LoopStalled, this->settings.host.value()).with("late_ms", lateness);
    }

    void log_silent_domains(std::vector<FailureDomainId> silent)
    {
        auto log_difference = [this](auto const& from, auto const& without, Core::EventNumber event) {
            for (auto const& domain : from) {
                if (std::ranges::find(without, domain) == without.end())
                    this->context.log.event(event, domain.value());
            }
        };
        log_difference(silent, this->silent_domains, Core::EventNumber::FailureDomainSilent);
        log_difference(this->silent_domains, silent, Core::EventNumber::FailureDomainReachable);
        this->silent_domains = std::move(silent);
    }

    void update_unreachable_services()
    {
        auto now = this->context.now();
        this->log_silent_domains(this->context.reachability.silent_domains(now));
        if (!this->context.routing)
            return;
        auto unreachable = Serving::unreachable_services(
            this->context.backends, *this->context.routing, this->silent_domains, now, this->context.domain_doubt);
        auto& known = this->context.unreachable_services;
        if (unreachable == known)
            return;
        known = std::move(unreachable);
        this->log.event(Core::EventNumber::ServicesUnreachable, this->settings.host.value())
            .with("services", known.size())
            .with("first", known.empty() ? ServiceName("none") : known.front());
    }

    /// Derives from the reachable hosts what this host reads and whether it is ready. The work grows with the number of
    /// known hosts, and so does the period.
    void update_reachability()
    {
        auto const now = this->context.now();
        if (now < this->next_reachability_update_at)
            return;
        auto const steps = static_cast<i64>(1 + this->context.reachability.known_host_count() / hosts_per_tick);
        this->next_reachability_update_at = now + steps * tick_period - tick_period / 2;
        this->update_unreachable_services();
        this->update_following();
    }

    void tick()
    {
        this->backends.tick();
        this->table_loader.tick();
        this->update_reachability();
        log_doubt_changes(this->context);
        log_contact_changes(this->context);
        this->update_forwarding_hosts();
        this->probes.tick();
        this->update_allowance_share();
        this->quarantine_table.tick();
        update_shortages(this->context);
        this->rollouts.tick();
        this->context.connections.drop_unusable();
        this->log.flush();
        this->tick_timer.expires_after(tick_period);
        this->tick_timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            this->record_lateness();
            this->tick();
        });
    }

    /// Looks for hosts that serve this host's callers while it has lost contact to backend servers.
    void update_forwarding_hosts()
    {
        auto const now = this->context.now();
        this->context.forwarding_hosts.forget_expired(now);
        if (!this->context.service_contact.has_lost_any() || now < this->next_contact_query_at)
            return;
        this->next_contact_query_at = now + contact_query_period;
        this->peers.query_contact();
    }

    /// Updates this host's share of the allowance. It walks all known hosts, and the result changes only when hosts are
    /// added or removed, so it runs once per `share_period`.
    void update_allowance_share()
    {
        auto const now = this->context.now();
        if (now < this->next_share_at)
            return;
        this->next_share_at = now + share_period;
        share_allowance(this->context.budget, this->context.reachability, this->settings.peer_address, now);
    }

    void await_signal()
    {
        this->signals.async_wait([this](boost::system::error_code error, int number) {
            if (error)
                return;
            if (number == SIGHUP)
                this->reload_settings();
            else if (!this->context.is_leaving())
                this->begin_stop();
            this->await_signal();
        });
    }

    void reload_settings()
    {
        auto read = this->reload();
        // With settings that are rejected now, this process would not start again.
        this->context.metrics.set("settings_rejected", read ? 0 : 1);
        if (!read) {
            this->log.event(Core::EventNumber::SettingsRejected, this->settings.host.value())
                .with("reason", read.error().message);
            return;
        }
        // Addresses and names are fixed at the start of the process; only the settings below can change while it runs.
        this->settings.stop_grace = read.value().stop_grace;
        this->settings.drain_time = read.value().drain_time;
        this->settings.list_recovery_time = read.value().list_recovery_time;
        this->settings.max_back_off = read.value().max_back_off;
        this->set_memory(read.value().memory_bytes);
        this->context.budget.set_limits(read.value().retry_budget);
        this->context.rollouts.set_limits(read.value().exposure);
        this->log.event(Core::EventNumber::SettingsReloaded, this->settings.host.value());
    }

    /// A bound that was not set at the start of the process stays unset: responses in progress were not counted.
    void set_memory(u64 bytes)
    {
        this->settings.memory_bytes = bytes;
        auto& budget = this->callers_context->output_budget;
        if (budget && bytes > 0)
            budget->set_total(Overload::OutputBudget::total_for(bytes));
        if (this->context.collected_responses && bytes > 0)
            this->context.collected_responses->set_total(Overload::OutputBudget::total_for_collected(bytes));
        if (bytes > 0)
            this->callers_context->request_budget->set_total(Overload::RequestBudget::total_for(bytes));
    }

    void begin_stop()
    {
        this->stop.emplace(this->context, *this->callers, *this->callers_context, [this] { this->loop.stop(); });
        this->stop->begin();
    }

    Http::asio::io_context& loop;
    HostSettings settings;
    Core::StructuredLog& log;
    Reload reload;
    ServingContext context;
    RequestHandler<typename P::Dialect> request_handler;
    EnginePoller<typename P::Dialect> engine_poller;
    ConnectionProbes probes;
    PeerLink peers;
    BackendList backends;
    OperatorTable<P> operator_table;
    typename P::Store directory_store;
    HostDirectory<typename P::Store> directory;
    typename P::Store quarantine_store;
    QuarantineTable<typename P::Store> quarantine_table;
    typename P::Store configuration_store;
    typename P::Store backend_store;
    Platform::ChangeFollower<typename P::Store> configuration_follower;
    Platform::ChangeFollower<typename P::Store> backend_follower;
    RolloutCoordinator<P> rollouts;
    TableUpdateExchange<typename P::Store> table_updates;
    TableLoader table_loader;
    std::shared_ptr<Http::CallerContext> callers_context;
    std::optional<LoadMeter> load_meter;
    std::optional<Http::CallerServer> callers;
    std::optional<Http::CallerServer> readiness;
    std::optional<Http::CallerServer> metrics;
    Http::asio::signal_set signals;
    AK::Timer tick_timer;
    Instant started_at {};
    Instant next_share_at {};
    Instant next_reachability_update_at {};
    Instant next_contact_query_at {};
    std::optional<PlannedStop> stop;
    bool backends_known { false };
    /// An invalid entry is reported again with each heartbeat of its writer.
    LogRateLimiter rejected_rows { 1min };
    /// Rejections of requests that were not received in full.
    LogRateLimiter rejected_requests { 1s };
    std::vector<FailureDomainId> silent_domains;
    bool has_logged_ready { false };
};

}
