/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibConfiguration/ConfigurationFollower.h>
#include <LibCore/EventLog.h>
#include <LibMembership/MemberTable.h>
#include <LibPlatform/ClaimBatch.h>
#include <LibPlatform/FaultyTable.h>
#include <LibScheduling/PoolScheduler.h>
#include <LibWire/Messages.h>
#include <ctime>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>
#include <malloc.h>

/// Measures how the costs that occur within one process grow with its load. Prints lines of JSON; times are CPU time.

static double processor_seconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Bytes allocated on the heap. Meta/capacity.sh measures the resident memory of entire processes.
static double heap_bytes()
{
    auto information = mallinfo2();
    return static_cast<double>(information.uordblks + information.hblkhd);
}

/// Mean CPU time of one call of `work` in microseconds, measured over about a quarter of a second.
template<typename Work>
static double microseconds_of(Work work)
{
    constexpr double measurement_seconds = 0.25;
    auto begin = processor_seconds();
    size_t count = 0;
    while (processor_seconds() - begin < measurement_seconds) {
        work();
        ++count;
    }
    return (processor_seconds() - begin) / static_cast<double>(count) * 1e6;
}

static void measure_scheduler(size_t engine_count)
{
    constexpr size_t generations_per_engine = 39;
    auto before = heap_bytes();
    Scheduling::PolicyConstants constants;
    Scheduling::PoolScheduler scheduler(Scheduling::ForecastAdmission(constants), constants);
    Instant now = Instant() + 100s;
    for (size_t i = 0; i < engine_count; ++i) {
        EngineId id("engine-" + std::to_string(i));
        scheduler.put_engine(id, Address("10.0.0.1:8000"), 60'000, now);
        scheduler.load_report(id, {}, now);
    }
    size_t next = 0;
    auto request = [&] {
        Scheduling::SubmitRequest submit;
        submit.generation = GenerationId("gen-0123456789abcdef-" + std::to_string(next));
        submit.attempt = AttemptNumber(1);
        submit.forecast_key = { OrganisationId("organisation-" + std::to_string(next++ % 330)), RouteName("summary"),
            ModelId("writer") };
        submit.prompt = TokenCount(500);
        submit.maximum_output = TokenCount(4096);
        return submit;
    };
    for (size_t i = 0; i < engine_count * generations_per_engine; ++i) {
        auto submit = request();
        scheduler.submit(submit, now);
        (void)scheduler.admit(now);
        scheduler.first_token(submit.generation, now);
    }
    now += 2s;
    for (size_t i = 0; i < engine_count; ++i)
        scheduler.load_report(EngineId("engine-" + std::to_string(i)), {}, now);
    (void)scheduler.tick(now);
    auto memory = heap_bytes() - before;
    // Time advances in tiny steps, so that all generations stay in the middle of their outputs.
    auto tick_briefly = [&] {
        now += 10us;
        (void)scheduler.tick(now);
    };
    auto decide = [&] {
        auto submit = request();
        scheduler.submit(submit, now);
        (void)scheduler.admit(now);
        scheduler.finished(submit.generation, AttemptNumber(1), Scheduling::EndReason::Completed, TokenCount(100), now);
    };
    auto tick = microseconds_of(tick_briefly);
    auto decision = microseconds_of(decide);
    // The first decision after a tick recomputes the forecast of every engine.
    auto tick_and_decision = microseconds_of([&] {
        tick_briefly();
        decide();
    });
    std::cout << R"({"part":"scheduler","engines":)" << engine_count << R"(,"generations":)"
              << engine_count * generations_per_engine << R"(,"tick_microseconds":)" << tick
              << R"(,"decision_microseconds":)" << decision << R"(,"tick_and_decision_microseconds":)"
              << tick_and_decision << R"(,"heap_bytes":)" << memory << "}\n";
}

static wire::LogEntry entry_of(u64 revision, wire::Change const& change)
{
    wire::LogEntry entry;
    entry.set_revision(revision);
    entry.set_change_id("change-0123456789");
    entry.set_operator_name("vesela");
    *entry.mutable_change() = change;
    return entry;
}

static void measure_configuration(size_t organisation_count)
{
    auto before = heap_bytes();
    std::vector<wire::LogEntry> log;
    auto add = [&](wire::Change const& change) { log.push_back(entry_of(log.size() + 1, change)); };
    for (int i = 0; i < 30; ++i) {
        wire::Change change;
        change.mutable_put_model()->set_id("model-" + std::to_string(i));
        add(change);
    }
    for (size_t i = 0; i < organisation_count; ++i) {
        wire::Change organisation;
        organisation.mutable_put_organisation()->set_id("organisation-" + std::to_string(i));
        organisation.mutable_put_organisation()->add_api_key_hashes(
            std::string(56, 'a') + std::to_string(10'000'000 + i));
        add(organisation);
        for (int j = 0; j < 3; ++j) {
            wire::Change route;
            route.mutable_put_route()->set_organisation("organisation-" + std::to_string(i));
            route.mutable_put_route()->set_name("route-" + std::to_string(j));
            route.mutable_put_route()->set_model("model-" + std::to_string((i + static_cast<size_t>(j)) % 30));
            add(route);
        }
    }
    auto begin = processor_seconds();
    Configuration::ConfigurationFollower follower;
    follower.apply(log);
    auto per_entry = (processor_seconds() - begin) / static_cast<double>(log.size()) * 1e6;
    auto entry_bytes = log.back().ByteSizeLong();
    log.clear();
    log.shrink_to_fit();
    auto memory = heap_bytes() - before;
    std::string snapshot;
    auto snapshot_time = microseconds_of([&] { snapshot = follower.document().snapshot().SerializeAsString(); });
    std::cout << R"({"part":"configuration","organisations":)" << organisation_count << R"(,"entry_microseconds":)"
              << per_entry << R"(,"entry_bytes":)" << entry_bytes << R"(,"snapshot_bytes":)" << snapshot.size()
              << R"(,"snapshot_microseconds":)" << snapshot_time << R"(,"heap_bytes":)" << memory << "}\n";
}

static void measure_membership(size_t member_count)
{
    std::vector<Membership::MemberTable> members;
    for (size_t i = 0; i < member_count; ++i) {
        Membership::MemberRow row;
        row.id = MemberId("gateway-" + std::to_string(100 + i));
        row.role = wire::ROLE_GATEWAY;
        row.address = Address("10.20.30.40:8101");
        row.incarnation = Incarnation(1'796'000'000'000 + i);
        row.revision = Revision(40'000);
        members.emplace_back(row, 5s);
    }
    FailureDomainId domain("domain-17");
    Instant now;
    for (auto& member : members) {
        (void)member.advance_heartbeat(now);
        for (auto& other : members)
            (void)other.receive(member.gossip(domain, Membership::GossipDetail::Full), now);
    }
    size_t bytes = 0;
    auto time = microseconds_of([&] {
        (void)members[0].advance_heartbeat(now);
        auto frame = members[0].gossip(domain, Membership::GossipDetail::Compact).SerializeAsString();
        bytes = frame.size();
        wire::Gossip parsed;
        parsed.ParseFromString(frame);
        (void)members[1].receive(parsed, now);
    });
    auto full_bytes = members[0].gossip(domain, Membership::GossipDetail::Full).ByteSizeLong();
    std::cout << R"({"part":"gossip","members":)" << member_count << R"(,"message_bytes":)" << bytes
              << R"(,"full_message_bytes":)" << full_bytes << R"(,"send_and_receive_microseconds":)" << time << "}\n";
}

static void measure_claims(size_t count)
{
    Platform::MemoryTable table;
    Platform::FaultyTable view(table);
    std::vector<Platform::Claim> claims;
    for (size_t i = 0; i < count; ++i)
        claims.push_back({ OrganisationId("hanak"), "sale-" + std::to_string(i), "nonce-" + std::to_string(i) });
    auto begin = processor_seconds();
    (void)Platform::ClaimBatch(view, 1).make(claims);
    auto time = (processor_seconds() - begin) * 1e6;
    std::cout << R"({"part":"claims","claims":)" << count << R"(,"writes":)" << table.commit_count() << R"(,"reads":)"
              << count << R"(,"microseconds":)" << time << "}\n";
}

static void measure_events(size_t count)
{
    auto before = heap_bytes();
    Core::EventLog log(MemberId("gateway-1"));
    auto begin = processor_seconds();
    for (size_t i = 0; i < count; ++i)
        log.record(Core::EventNumber::GenerationPlaced, "gen-0123456789abcdef-" + std::to_string(i),
            "at engine-17, memory 57% of the safe limit", OrganisationId("organisation-1"));
    auto time = (processor_seconds() - begin) / static_cast<double>(count) * 1e6;
    std::cout << R"({"part":"events","events":)" << count << R"(,"event_microseconds":)" << time << R"(,"heap_bytes":)"
              << heap_bytes() - before << "}\n";
}

static void measure_messages()
{
    wire::Envelope place;
    auto* request = place.mutable_place_request();
    request->set_generation("gen-0123456789abcdef-123456");
    request->set_attempt(1);
    request->set_organisation("organisation-123");
    request->set_route("incident-summary");
    request->set_prompt_tokens(700);
    request->set_maximum_output_tokens(4096);
    request->set_prefix_hash(0x9123456789abcdef);
    request->set_deadline_milliseconds(10'000);
    wire::Envelope reply;
    reply.mutable_place_reply()->set_generation("gen-0123456789abcdef-123456");
    reply.mutable_place_reply()->set_attempt(1);
    reply.mutable_place_reply()->set_engine("engine-1234");
    reply.mutable_place_reply()->set_engine_address("10.20.30.40:8000");
    wire::Envelope started;
    started.mutable_started()->set_generation("gen-0123456789abcdef-123456");
    started.mutable_started()->set_attempt(1);
    wire::Envelope finished;
    finished.mutable_finished()->set_generation("gen-0123456789abcdef-123456");
    finished.mutable_finished()->set_attempt(1);
    finished.mutable_finished()->set_reason(wire::FINISH_COMPLETED);
    finished.mutable_finished()->set_output_tokens(383);
    size_t total = 0;
    for (auto* message : { &place, &reply, &started, &finished }) {
        message->set_sender("gateway-123");
        message->set_sender_address("10.20.30.40:8101");
        message->set_wall_milliseconds(1'796'000'000'000);
        message->set_counter(3);
        total += message->ByteSizeLong();
    }
    std::cout << R"({"part":"messages","place_bytes":)" << place.ByteSizeLong() << R"(,"reply_bytes":)"
              << reply.ByteSizeLong() << R"(,"started_bytes":)" << started.ByteSizeLong() << R"(,"finished_bytes":)"
              << finished.ByteSizeLong() << R"(,"per_request_bytes":)" << total << "}\n";
}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures the cost slopes for docs/CAPACITY.md that can be measured within one process.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    for (size_t engines : { 4u, 26u, 77u })
        measure_scheduler(engines);
    for (size_t organisations : { 100u, 330u, 1000u })
        measure_configuration(organisations);
    for (size_t members : { 5u, 10u, 15u, 20u })
        measure_membership(members);
    for (size_t claims : { 1u, 20u, 200u })
        measure_claims(claims);
    for (size_t events : { 1000u, 4096u, 20'000u })
        measure_events(events);
    measure_messages();
    return 0;
}
