/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "../../standins/World.h"
#include <algorithm>
#include <csignal>
#include <set>

using namespace Review;

/// bounds.drain_ms of btra-lilac.
static constexpr double drain_s = 2;
static constexpr int heartbeat_ms = 1200;
/// The platform's history_s, and a little more.
static constexpr int quiet_ms = 24'000;
/// How long a runner whose entry has gone still serves: "at times many seconds" beyond drain_ms.
static constexpr int linger_ms = 12'000;
/// The platform starts a killed process again after a short delay.
static constexpr int restart_ms = 3500;
/// The runner leaves so long after the kill.
static constexpr int leave_ms = 150;
static constexpr size_t hosts_per_zone = 3;
static constexpr size_t callers_per_host = 4;

static std::mutex mutex;
/// The host that each request was sent to.
static std::map<std::string, size_t> host_of;

/// By runner: the calls that it works on.
static std::map<std::string, std::atomic<int>> in_work;

static void serve_call(Runner& runner, Message const& message, Connection& connection)
{
    if (message.target() == "/health") {
        connection.send(response(200, { { "Lilactiller-Instance-Id", runner.id } }));
        return;
    }
    runner.add_run(message);
    ++in_work[runner.id];
    sleep_ms(60);
    --in_work[runner.id];
    connection.send(response(200, answer_headers(message), "done"));
}

int main()
{
    open_record(std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt");
    bool const trouble = has_trouble();
    // One zone, or with ZONES=3 three; the host that reads the list for its zone is killed in each.
    auto const* zones_wanted = std::getenv("ZONES");
    std::vector<std::string> zones { "hall-a", "hall-b", "hall-c" };
    zones.resize(zones_wanted && std::string(zones_wanted) == "3" ? 3 : 1);
    size_t const host_count = zones.size() * hosts_per_zone;
    Store store("127.77.0.1", host_count);
    store.put("op", "config",
        configuration(
            7, { { "vignette-check", "/vignette/", "unsafe", 1500, 300, "lane-api", 1 } }, { { "lane-api", false } }));
    std::vector<std::unique_ptr<Runner>> runners;
    for (auto const& zone : zones) {
        for (int i = 1; i <= 3; ++i) {
            runners.push_back(std::make_unique<Runner>(
                store, "i-" + zone + "-" + std::to_string(i), "lane-api", zone, "127.77.1.1", 6, serve_call));
            in_work[runners.back()->id] = 0;
            runners.back()->register_entry();
        }
    }
    // Each runner writes there about every heartbeat_ms; its entry does not change by it.
    std::thread([&] {
        while (true) {
            sleep_ms(heartbeat_ms / static_cast<int>(runners.size()));
            store.touch();
        }
    }).detach();

    std::vector<std::unique_ptr<Host>> hosts;
    for (size_t i = 0; i < host_count; ++i) {
        auto const& zone = zones[i / hosts_per_zone];
        hosts.push_back(
            std::make_unique<Host>(HostSettings { "front-" + zone + "-" + std::to_string(i % hosts_per_zone + 1), zone,
                                       "127.77.3." + std::to_string(i + 1), zones },
                store.address(i)));
        hosts.back()->start();
    }
    bool const are_ready = wait_until(
        [&] { return std::all_of(hosts.begin(), hosts.end(), [](auto const& host) { return host->is_ready(); }); },
        20'000);
    if (!are_ready) {
        record("not all hosts became ready");
        std::_Exit(2);
    }

    // Four callers of each host, on kept connections, up to ten calls a second each.
    std::atomic<bool> is_over { false };
    std::atomic<int> served { 0 };
    std::atomic<int> unserved { 0 };
    /// The runner that has left has ended its process.
    std::atomic<bool> has_ended { false };
    /// The hosts that read the list of servers; set before the first fault.
    std::set<size_t> readers;
    std::vector<std::thread> threads;
    for (size_t caller = 0; caller < callers_per_host * host_count; ++caller) {
        threads.emplace_back([&, caller] {
            auto const i = caller % host_count;
            std::shared_ptr<Connection> connection;
            for (int number = 0; !is_over; ++number) {
                if (!connection)
                    connection = Connection::open(hosts[i]->address());
                auto const attempt = "c" + std::to_string(caller) + "-" + std::to_string(number);
                {
                    std::lock_guard const lock(mutex);
                    host_of[attempt] = i;
                }
                if (connection)
                    connection->send(request("POST", "/vignette/1", caller_headers(attempt, 3000), "lane 4"));
                auto const answer = connection ? connection->read_message(4000, true) : std::nullopt;
                int const status = answer ? answer->status() : 0;
                served += status == 200 ? 1 : 0;
                if (status != 200 && has_ended && !readers.contains(i)) {
                    ++unserved;
                    record(
                        "call " + attempt + " by way of " + hosts[i]->name + " ended with " + std::to_string(status));
                }
                if (!answer || !answer->is_complete || answer->header("Connection") == "close")
                    connection = nullptr;
                sleep_ms(40);
            }
        });
    }
    record("all hosts are ready; nothing changes for " + std::to_string(quiet_ms) + " ms");
    sleep_ms(quiet_ms);

    for (size_t i = 0; i < host_count; ++i) {
        if (store.has_follower(i, "servers", 3))
            readers.insert(i);
    }
    if (readers.empty()) {
        record("no host reads the list of servers");
        std::_Exit(2);
    }
    if (trouble) {
        for (auto const reader : readers) {
            hosts[reader]->signal(SIGKILL);
            record(hosts[reader]->name + ", which reads the list of servers, is killed");
        }
        for (auto const reader : readers)
            wait_until([&] { return !hosts[reader]->is_running(); }, 1000);
    }
    sleep_ms(leave_ms);
    auto& leaving = *runners.front();
    leaving.remove_entry();
    auto const acknowledged_at = now_s();
    record("the entry of runner " + leaving.id + " goes, acknowledged by the store; the runner serves on for "
        + std::to_string(linger_ms) + " ms");
    if (trouble) {
        sleep_ms(restart_ms - leave_ms);
        for (auto const reader : readers)
            hosts[reader]->start();
        sleep_ms(linger_ms - restart_ms + leave_ms);
    } else {
        sleep_ms(linger_ms);
    }
    // It ends at any time; here while it works on a call, if it still gets any.
    wait_until([&] { return in_work[leaving.id] > 0; }, 1000);
    has_ended = true;
    leaving.stop();
    record("runner " + leaving.id + " ends");
    sleep_ms(500);
    is_over = true;
    for (auto& thread : threads)
        thread.join();

    // DRAIN: requests that reach the runner later than drain_ms after the acknowledgement, from machines in touch.
    std::map<size_t, int> late;
    int late_of_reader = 0;
    for (auto const& run : leaving.runs()) {
        if (run.at <= acknowledged_at + drain_s)
            continue;
        if (readers.contains(host_of[run.attempt]))
            ++late_of_reader;
        else
            ++late[host_of[run.attempt]];
    }
    int total = 0;
    for (auto const& [i, count] : late) {
        total += count;
        record(hosts[i]->name + ", which nothing has disturbed, has sent " + std::to_string(count)
            + " requests to the runner later than drain_ms after the acknowledgement");
    }
    record(std::to_string(served) + " calls served; " + std::to_string(unserved)
        + " of hosts in touch not served as the runner ended; late requests to the runner: " + std::to_string(total)
        + " from hosts in touch, " + std::to_string(late_of_reader) + " from those that read the list");
    record(total > 0 ? "DRAIN is broken" : "DRAIN held");
    for (auto& host : hosts)
        host->stop();
    std::_Exit(total > 0 ? 1 : 0);
}
