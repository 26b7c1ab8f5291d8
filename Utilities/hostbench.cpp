/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Admission.h>
#include <LibServing/PeerUse.h>
#include <LibServing/Reachability.h>
#include <benchmark/benchmark.h>

/// Measures the recurring computations of an entry host, by the number of hosts and engines in the system. These are
/// spread over five failure domains.

using namespace Serving;

namespace {

constexpr i64 domain_count = 5;
constexpr Instant now { 100s };

FailureDomainId domain_of(i64 number) { return FailureDomainId("hall-" + std::to_string(number % domain_count)); }

Address address_of(i64 host)
{
    return Address("10." + std::to_string(host % domain_count) + ".0." + std::to_string(host / domain_count) + ":7200");
}

/// The view of host 0 of the first domain. It receives messages from all hosts of its own domain and from two hosts of
/// each remote domain.
Reachability reachability_of_host(i64 hosts)
{
    Reachability reachability(domain_of(0));
    for (i64 host = 1; host < hosts; ++host) {
        KnownHost const known { address_of(host), domain_of(host) };
        reachability.update_known_hosts(std::span(&known, 1), now);
        if (domain_of(host) == domain_of(0) || host < 2 * domain_count)
            reachability.record_message(address_of(host), { domain_of(host), 1s }, now);
    }
    return reachability;
}

void add_engines(BackendTable& table, i64 engines)
{
    for (i64 i = 0; i < engines; ++i) {
        BackendServer server;
        server.id = EngineId("i-" + std::to_string(7'000'000 + i));
        server.service = ServiceName("models");
        server.address = Address("10.9.0.1:8000");
        server.failure_domain = domain_of(i);
        server.slots = 24;
        auto backend = table.update(server, now);
        backend->engine.own_generations = 1;
        backend->engine.own_tokens = 300 * (i % 50);
    }
}

/// Selects the engines that this host polls for reports. Runs every 350 ms.
void round_of_reports(benchmark::State& state)
{
    auto const reachability = reachability_of_host(state.range(0));
    BackendTable table;
    add_engines(table, state.range(1));
    auto const own = address_of(0);
    for (auto _ : state) {
        size_t responsible = 0;
        for (auto const& backend : table.running())
            responsible
                += reachability.is_responsible_for(own, backend->server.id.value(), backend->server.failure_domain, now)
                ? 1
                : 0;
        benchmark::DoNotOptimize(responsible);
    }
}

/// Decides whether this host reads the platform, and for which hosts. Runs 20 times per second.
void choice_of_reader(benchmark::State& state)
{
    auto const reachability = reachability_of_host(state.range(0));
    auto const own = address_of(0);
    for (auto _ : state) {
        benchmark::DoNotOptimize(reachability.reads_platform(own, now));
        benchmark::DoNotOptimize(reachability.is_leading_reader(own, now));
        benchmark::DoNotOptimize(reachability.silent_domains(now));
    }
}

/// Chooses the engine for one generation.
void placement(benchmark::State& state)
{
    auto const reachability = reachability_of_host(state.range(0));
    BackendTable table;
    add_engines(table, state.range(1));
    boost::random::mt19937 random(1);
    for (auto _ : state) {
        ChoiceInputs const inputs { domain_of(0), reachability.silent_domains(now), now, 0.3, {}, domain_of(0), 9 };
        benchmark::DoNotOptimize(choose_for_generation(table.of_service(ServiceName("models")), {},
            { TokenCount(3000), TokenCount(500) }, TokenCount(33'620), inputs, random));
    }
}

/// Decides whether to admit one generation, and chooses its engine.
void admission(benchmark::State& state)
{
    auto const reachability = reachability_of_host(state.range(0));
    BackendTable table;
    add_engines(table, state.range(1));
    boost::random::mt19937 random(1);
    AdmissionDemand const demand { { TokenCount(3000), TokenCount(500) }, 1800ms };
    for (auto _ : state) {
        ChoiceInputs const inputs { domain_of(0), reachability.silent_domains(now), now, 0.3, {}, domain_of(0), 9 };
        benchmark::DoNotOptimize(
            admit(table.of_service(ServiceName("models")), {}, demand, TokenCount(33'620), inputs, random));
    }
}

/// Builds, serialises, parses and applies the full state message of a remote domain. All remote domains together send
/// about ten of these per second.
void domain_message(benchmark::State& state)
{
    BackendTable table;
    add_engines(table, state.range(1) / domain_count);
    PeerUse use;
    OwnUse own(UseScope::Domain);
    size_t bytes = 0;
    for (auto _ : state) {
        auto message = own.full_state(table);
        message.set_domain_speaker("10.1.0.1:7200");
        auto const text = message.SerializeAsString();
        bytes = text.size();
        wire::HostUse received;
        received.ParseFromString(text);
        use.apply(MemberId("hall-1"), received, table, now);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

}

BENCHMARK(round_of_reports)
    ->Args({ 30, 13 })
    ->Args({ 100, 44 })
    ->Args({ 295, 130 })
    ->Args({ 300, 3000 })
    ->Args({ 1000, 3000 });
BENCHMARK(choice_of_reader)->Args({ 30, 13 })->Args({ 100, 44 })->Args({ 295, 130 })->Args({ 1000, 3000 });
BENCHMARK(placement)
    ->Args({ 30, 13 })
    ->Args({ 100, 44 })
    ->Args({ 295, 130 })
    ->Args({ 300, 3000 })
    ->Args({ 1000, 3000 });
BENCHMARK(admission)
    ->Args({ 30, 13 })
    ->Args({ 100, 44 })
    ->Args({ 295, 130 })
    ->Args({ 300, 3000 })
    ->Args({ 1000, 3000 });
BENCHMARK(domain_message)
    ->Args({ 30, 13 })
    ->Args({ 100, 44 })
    ->Args({ 295, 130 })
    ->Args({ 300, 3000 })
    ->Args({ 1000, 3000 });
BENCHMARK_MAIN();
