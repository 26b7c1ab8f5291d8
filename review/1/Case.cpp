/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "../standins/World.h"
#include <csignal>
#include <set>

using namespace Review;

static constexpr int callers = 12;
/// The pause between the events of a stream; gap_aim_ms is 180.
static constexpr int event_gap_ms = 50;
/// The streams begin so long before the SIGTERM.
static constexpr int lead_ms = 1000;
/// The first stream ends so long after the SIGTERM, and each further one a little later.
static constexpr int first_end_ms = 7400;
static constexpr int end_step_ms = 20;
/// A call's work; vignette-check has 60 in the mean and 450 at most.
static constexpr int work_ms = 200;

static std::mutex mutex;
static std::set<std::string> reached;

/// A plain service.
static void serve_call(Runner& runner, Message const& message, Connection& connection)
{
    if (message.target() == "/health") {
        connection.send(response(200, { { "Lilactiller-Instance-Id", runner.id } }));
        return;
    }
    {
        std::lock_guard const lock(mutex);
        reached.insert(message.header("Lilactiller-Attempt-Id"));
    }
    sleep_ms(work_ms);
    connection.send(response(200, answer_headers(message), "done"));
}

static std::string chunk(std::string const& text)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// An engine. The caller's number, which is the end of its path, says how long its stream lasts.
static void serve_stream(Runner& runner, Message const& message, Connection& connection)
{
    if (message.target() == "/report") {
        connection.send(response(200, { { "Content-Type", "application/json" } },
            R"({"waiting":0,"running":4,"kv_used":4000,"kv_total":34545,"handles":0})"));
        return;
    }
    if (message.method() != "POST") {
        connection.send(response(200, { { "Lilactiller-Instance-Id", runner.id } }));
        return;
    }
    auto const number = std::atoi(message.target().substr(message.target().rfind('/') + 1).c_str());
    auto const end = Clock::now() + std::chrono::milliseconds(lead_ms + first_end_ms + number * end_step_ms);
    auto headers = answer_headers(message);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Transfer-Encoding", "chunked");
    connection.send(response(200, headers));
    for (int event = 1; Clock::now() + std::chrono::milliseconds(event_gap_ms) < end; ++event) {
        connection.send(chunk("id: " + std::to_string(event) + "\ndata: lane 4\n\n"));
        sleep_ms(event_gap_ms);
    }
    std::this_thread::sleep_until(end);
    connection.send("0\r\n\r\n");
}

int main()
{
    open_record(std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt");
    bool const trouble = has_trouble();
    Store store("127.77.0.1", 1);
    store.put("op", "config",
        configuration(7,
            { { "incident-draft", "/draft/", "streaming", 39000, 1800, "model-pool", 1 },
                { "vignette-check", "/vignette/", "unsafe", 1500, 300, "lane-api", 1 } },
            { { "model-pool", true }, { "lane-api", false } }));
    std::vector<std::unique_ptr<Runner>> runners;
    for (int i = 1; i <= 3; ++i) {
        auto const ip = "127.77.1." + std::to_string(i);
        runners.push_back(std::make_unique<Runner>(
            store, "i-engine" + std::to_string(i), "model-pool", "hall-a", ip, 64, serve_stream));
        runners.push_back(
            std::make_unique<Runner>(store, "i-lane" + std::to_string(i), "lane-api", "hall-a", ip, 6, serve_call));
    }
    for (auto const& runner : runners)
        runner->register_entry();
    Host host({ "front-hall-a-1", "hall-a", "127.77.3.1", { "hall-a" } }, store.address(0));
    host.start();
    if (!wait_until([&] { return host.is_ready(); }, 20'000)) {
        record("the host did not become ready");
        std::_Exit(2);
    }
    // A machine is in touch contact_ms, 3,000, after its start.
    sleep_ms(4000);

    std::atomic<int> streams { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> lost { 0 };
    std::atomic<double> terminated_at { -1 };
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            auto const name = std::to_string(caller);
            auto connection = Connection::open(host.address());
            if (!connection)
                return;
            auto headers = caller_headers("draft-" + name, 39'000);
            headers.emplace_back("Lilactiller-Model", "m");
            headers.emplace_back("Lilactiller-Token-Usage", "500,700");
            headers.emplace_back("Lilactiller-Prompt-Prefix", "5c1e07a2:79,e440" + name + ":421");
            connection->send(request("POST", "/draft/" + name, headers, "lane 4"));
            auto const stream = connection->read_message(30'000, true);
            if (!stream || !stream->is_complete || stream->status() != 200) {
                record("stream " + name + " ended with " + (stream ? stream->start : "no answer"));
                return;
            }
            ++streams;
            // The stream's head has not announced a close, so the connection may carry the next request.
            if (stream->header("Connection") == "close")
                return;
            auto const attempt = "call-" + name;
            auto const sent_at = now_s();
            connection->send(request("POST", "/vignette/1", caller_headers(attempt, 3000), "lane 4"));
            auto const answer = connection->read_message(4000, true);
            auto const after = terminated_at < 0
                ? std::string("; no SIGTERM was sent")
                : ", sent " + std::to_string(sent_at - terminated_at) + " s after the SIGTERM";
            if (answer && answer->is_complete) {
                served += answer->status() == 200 ? 1 : 0;
                record(attempt + after + ": " + answer->start);
                return;
            }
            std::lock_guard const lock(mutex);
            if (reached.contains(attempt)) {
                ++lost;
                record(attempt + after + ": it reached a runner, and the connection ended without an answer");
            } else {
                record(attempt + after + ": the connection had been closed; not passed on");
            }
        });
    }
    sleep_ms(lead_ms);
    if (trouble) {
        terminated_at = now_s();
        host.signal(SIGTERM);
        record("SIGTERM to " + host.name + "; stop_grace is grace_s, 8 s");
    }
    for (auto& thread : threads)
        thread.join();
    host.is_running();
    record(std::to_string(streams) + " of " + std::to_string(callers) + " streams were whole, " + std::to_string(served)
        + " calls after them served, " + std::to_string(lost) + " lost after they had reached a runner");
    host.stop();
    if (streams < callers / 2) {
        record("too few streams were served");
        std::_Exit(2);
    }
    record(lost > 0 ? "LOST is broken" : "LOST held");
    std::_Exit(lost > 0 ? 1 : 0);
}
